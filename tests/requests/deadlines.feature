Feature: Deadlines and cancellation
  A cook gives up on a menu sheet and asks again. The first request goes on at
  the upstream and holds one of its three slots, nobody reads its answer, and
  soon all slots work for callers who have left.

  Scenario: A request given up on is cancelled at the upstream
    Given a slow publisher behind two entry VMs
    When a caller gives up on a request after 1 second
    Then the slow publisher was reset within a second of it
    And the slow publisher was told a deadline of at most 1 second

  Scenario: A deadline ends a request at once with a time to come back
    Given a slow publisher behind two entry VMs
    When a stock caller sends a request with 2 seconds to go
    Then the deadline's answer is GATEWAY_TIMEOUT as "may-have-run" after 2 seconds
    And the deadline's answer says when to come back
    And the slow publisher was reset within a second of it

  Scenario: A cancelled request gets its final answer at once
    Given a slow publisher behind two entry VMs
    When a stock caller cancels its request after 3 seconds
    Then the deadline's answer is GATEWAY_TIMEOUT as "may-have-run" after 3 seconds
    And the slow publisher was reset within a second of it

  Scenario: A cancellation that overtakes its request keeps it from running
    Given a slow publisher behind two entry VMs
    When a stock caller's cancellation arrives before its request
    Then both deadline's answers are SERVICE_UNAVAILABLE as "not-run"
    And the slow publisher has run nothing
