Feature: A domain that was taken out and is then cut off
  Operators take a failure domain out, and a cut keeps its nodes from all others.

  Scenario: Its clients are served at home while the cut lasts
    Guards against a domain that serves nobody although its upstreams live.
    Given 5 domains of 16 nodes and 14 upstreams, with 100 calls a second each
    And the first domain is taken out
    When it is cut off from all other domains and from the store for 5 seconds
    Then of its calls from 1.5 s on at most 0.03 are never served
    And its nodes opened flows at home

  Scenario: While the store answers the operators' order stands
    Guards against other trouble that is taken for a cut. The control of the scenario above.
    Given 5 domains of 16 nodes and 14 upstreams, with 100 calls a second each
    And the first domain is taken out
    When it is cut off from all other domains for 5 seconds
    Then no node opened a flow at home
    And of its calls from 1.5 s on at least 0.5 are never served

  Scenario: While another domain answers the order stands, without the store too
    Guards against flows to a domain that was taken out, for want of the store alone.
    Given 5 domains of 16 nodes and 14 upstreams, with 100 calls a second each
    And the first domain is taken out
    When the store answers nobody for 5 seconds
    Then no node opened a flow at home

  Scenario: Once the cut has ended no new flow stays at home
    Guards against a last resort that outlives its reason.
    Given 5 domains of 16 nodes and 14 upstreams, with 100 calls a second each
    And the first domain is taken out
    When it is cut off from all other domains and from the store for 5 seconds
    And the cut ends
    Then from 3.0 s after its end no node opened a flow at home

  Scenario Outline: Only silence on a new connection counts as out of reach
    Guards against a refusal, or an old connection's silence, taken for a cut.
    Given a fleet of 2 nodes in 1 domains
    When a node asks a store in trouble "<trouble>" whether it can be reached
    Then it is found to be <found>

    Examples:
      | trouble | found        |
      | none    | in reach     |
      | muted   | in reach     |
      | busy    | in reach     |
      | reset   | in reach     |
      | silent  | out of reach |
