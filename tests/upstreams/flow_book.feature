Feature: Count of the flows at an upstream
  Callers don't close their flows, so a flow counts against the document's
  connections until its newest cookie expires.

  Scenario: Flows stop counting when they expire
    Given a flow counter whose cookies last 300 seconds
    When the flows "a, b, c" are opened at 0 seconds
    And the flow "a" is used at 10 seconds
    And the flow "b" is used at 20 seconds
    And the flow "a" is used at 25 seconds
    Then the flow counter counts 3 at 29 seconds
    And the flow counter counts 2 at 31 seconds
    And the flow counter counts 1 at 321 seconds
    And the flow counter counts 0 at 326 seconds

  Scenario: A flow that was rerouted does not count
    Given a flow counter whose cookies last 300 seconds
    When the flows "a, b" are opened at 0 seconds
    And the flow "a" is used at 1 seconds
    And the flows "a, b" are closed
    Then the flow counter counts 0 at 2 seconds
