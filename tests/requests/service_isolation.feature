Feature: Service isolation
  The VM of an upstream is replaced, and its address is reused by a VM of another
  service before the document changes. An entry VM must not send requests to
  that VM.

  Scenario: Services stay isolated while cookies, ports and addresses are reused
    When the request proof "service-isolation" runs on seeds 1 to 6
    Then the request promise holds each time
    And the request proof leaves the same trace for the same seed

  Scenario: Without verification of the identity the promise is broken
    When the request proof "service-isolation" runs on seeds 1 to 2 as a control run
    Then the request promise is broken each time
