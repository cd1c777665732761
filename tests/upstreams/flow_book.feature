Feature: The flows that count against an upstream
  A flow holds one of the document's connections until its newest cookie has
  run out, because callers never say goodbye.

  Scenario: Flows stop to count when their time is over
    Given a flow book whose cookies last 300 seconds
    When the flows "a, b, c" are opened at 0 seconds
    And the flow "a" is used at 10 seconds
    And the flow "b" is used at 20 seconds
    And the flow "a" is used at 25 seconds
    Then the flow book counts 3 at 29 seconds
    And the flow book counts 2 at 31 seconds
    And the flow book counts 1 at 321 seconds
    And the flow book counts 0 at 326 seconds

  Scenario: A flow that moved elsewhere does not count
    Given a flow book whose cookies last 300 seconds
    When the flows "a, b" are opened at 0 seconds
    And the flow "a" is used at 1 seconds
    And the flows "a, b" are closed
    Then the flow book counts 0 at 2 seconds
