Feature: A failure domain loses power
  Its nodes and upstreams fail at the same time. Packets of clients' open flows
  name failed upstreams, and reach nodes of other domains, and later nodes that
  have just started.

  Scenario Outline: Calls of a domain without power are served in other domains
    Guards against clients that wait for upstreams whose entries have expired.
    Given <domains> domains of <nodes> nodes and <upstreams> upstreams, with <rate> calls a second each
    And callers that use <flows> open flows at random
    When the first domain loses power for 5 seconds
    Then of its calls from 0.0 s to 2.0 s at most 0.15 are never served
    And of its calls from 2.0 s to 5.0 s at most 0.02 are never served
    And of its calls from 2.0 s to 5.0 s at most 0.05 are late
    And of its calls from 5.0 s to 8.0 s at most 0.01 are never served
    And of its calls from 5.0 s to 8.0 s at most 0.05 are late

    Examples:
      | domains | nodes | upstreams | rate | flows |
      | 3       | 2     | 8         | 60   | 180   |
      | 3       | 23    | 33        | 200  | 600   |
      | 3       | 100   | 60        | 300  | 900   |

  Scenario: Without detection of expired entries calls wait for their deadline
    The control of the scenario above, for the time without power.
    Given 3 domains of 23 nodes and 33 upstreams, with 200 calls a second each
    And callers that use 600 open flows at random
    And removed entries are treated as if the store had lost them
    When the first domain loses power for 5 seconds
    Then of its calls from 2.0 s to 5.0 s at least 0.1 are late or never served
    And of its calls from 0.0 s on at least 0.2 are never served

  Scenario: Without a reader's report started nodes wait before they reset flows
    The control of the scenario above, for the time after the power loss.
    Given 3 domains of 23 nodes and 33 upstreams, with 200 calls a second each
    And callers that use 600 open flows at random
    And started nodes receive no report of readers
    When the first domain loses power for 5 seconds
    Then of its calls from 5.0 s to 7.0 s at least 0.04 are late or never served

  Scenario: Flows are reset as soon as another process replaces their upstream
    Guards against an idle flow whose next request goes to a replaced process.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an upstream crashes and another process registers at its address
    And 2 new flows in "a" send a request
    And 0.1 seconds pass
    Then all flows on it were ended by a node

  Scenario: Two entries of one address that are read together reset no flow
    Guards against an order of starts that is based on the clocks of two hosts.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When another entry of an upstream's address is read together with its own
    And every flow sends a request
    And 0.5 seconds pass
    Then no flow was ended by a node

  Scenario: A living upstream whose entry was removed keeps its flows
    Guards against resets when an upstream reaches its clients but not the
    store.
    Given a domain "a" with 1 node and 1 upstream that works 0.3 seconds
    And 6 open flows in "a"
    When 5 seconds pass
    And its entry is removed for one upstream
    And every flow sends a request
    Then every request is served
    And no flow was ended by a node

  Scenario: A living upstream whose entry was removed keeps its queued flows
    Guards against resets when the store is late and answers take longer.
    Given a domain "a" with 1 node and 4 upstreams
    And the route's callers want answers within 0.6 seconds
    And 8 open flows in "a" whose clients wait 3 seconds
    When the service time of all upstreams becomes 0.3 seconds
    And every flow sends a request, every 1.0 seconds for 4.0 seconds
    And its entry is removed for one upstream
    And every flow sends a request
    And 2 seconds pass
    Then every request is served
    And no flow was ended by a node
