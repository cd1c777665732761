Feature: Finding the cause of a failed request in the logs
  The three examples of the operators' page, run with real nodes: the log lines
  of the flow that a client reports show what happened to it and why.

  Scenario: A flow that was reset because its upstream failed
    When flows are served while an upstream stops answering
    Then the log of each flow that was reset says "opened" on that upstream
    And then "upstream-dark" with the values behind the decision

  Scenario: An opening that was refused without delay
    When flows are served while some use a port without a route
    Then the log of each flow that was reset says "no-route"
    And the same node's log says which manifest was in force

  Scenario: Two simulations on one machine
    Guards against a simulation that fails because another one uses its address.
    When two simulations without faults run at the same time
    Then both served every request

  Scenario: A request that exceeded its deadline
    When flows are served while a node is killed
    Then the log of each flow that failed says "opened" and nothing after it
    And one node's log ends without "stopping", which is that of the killed node
