Feature: Errors in parts that forwarding does not need
  A node forwards packets while its pages, its exchange with other nodes or its
  watch of the store fail.

  Scenario: A part that fails runs again
    # Guards against a process that ends because its load reports fail.
    Given a part of a node that fails 3 times
    When it runs for 5 seconds
    Then it was started 4 times, a second apart
    And its 3 errors are counted and logged with cause and place

  Scenario: A page that fails is answered
    # Guards against a process that ends because somebody reads its metrics.
    Given a node whose metrics can't be loaded
    When its metrics are read
    Then the answer has status 500
    And the error of its "metrics" is counted

  Scenario: A datagram that can't be handled is dropped
    # Guards against a node that stops listening to its peers.
    Given a node whose handling of a datagram fails once
    When 2 datagrams arrive
    Then both were handled
    And the error of its "peer datagram" is counted
