Feature: Deadlines and cancellation
  A caller gives up on a request and sends another. If the first one is not
  cancelled at the upstream, it keeps one of the three slots until it ends, and
  soon all slots are taken by requests whose callers have gone.

  Scenario: A request given up on is cancelled at the upstream
    Given a slow upstream behind two entry VMs
    When a caller gives up on a request after 1 second
    Then the slow upstream stopped within a second of it
    And the slow upstream received a timeout of at most 1 second

  Scenario: A deadline ends a request at once with a retry delay
    Given a slow upstream behind two entry VMs
    When a plain CoAP caller sends a request with a timeout of 2 seconds
    Then the final answer is GATEWAY_TIMEOUT as "may-have-run" after 2 seconds
    And the final answer has a retry delay
    And the slow upstream stopped within a second of it

  Scenario: A cancelled request gets its final answer at once
    Given a slow upstream behind two entry VMs
    When a plain CoAP caller cancels its request after 3 seconds
    Then the final answer is GATEWAY_TIMEOUT as "may-have-run" after 3 seconds
    And the slow upstream stopped within a second of it

  Scenario: A cancellation that arrives before its request prevents it
    Given a slow upstream behind two entry VMs
    When a plain CoAP caller's cancellation arrives before its request
    Then both answers are SERVICE_UNAVAILABLE as "not-run"
    And the slow upstream has run no request
