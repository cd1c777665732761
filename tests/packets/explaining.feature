Feature: From a failed request to its cause, with logs alone
  The three stories of the operators' page, played with real nodes: a flow that
  the client names leads to lines that say what became of it and why.

  Scenario: A connection that was reset
    When flows are served while an upstream falls silent
    Then the log of each flow that was reset says "opened" on that upstream
    And then "upstream-dark" with what decided

  Scenario: An opening that was refused at once
    When flows are served while some go to a port without a route
    Then the log of each flow that was reset says "no-route"
    And the same node's log says which manifest it went by

  Scenario: Two plays on one machine
    Guards against a play that ends for an address that another play holds.
    When two plays without trouble run at once
    Then both served every request

  Scenario: A request that ran into its deadline
    When flows are served while a node is killed
    Then the log of each flow that failed says "opened" and nothing after it
    And one node's log ends without "stopping", and it is the one that was killed
