Feature: Service isolation
  A statement is billed as a return. Its upstream's VM was replaced, the
  address went to a VM of another service before the document was changed, and
  the entry VM connected to whoever answered there.

  Scenario: Services stay apart while cookies, ports and addresses change hands
    When the request proof "service-isolation" runs on seeds 1 to 6
    Then the request promise holds each time
    And the request proof leaves the same trace for the same seed

  Scenario: Trusting whoever answers at an address breaks the promise
    When the request proof "service-isolation" runs on seeds 1 to 2 without its guard
    Then the request promise is broken each time
