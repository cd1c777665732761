Feature: Placement of new flows
  Each node decides on its own, by what it observes.

  Scenario: Flows stay in their own failure domain
    # Flows within a domain survive a partition between the domains, and traffic
    # between domains is charged.
    Given a domain "a" with 2 nodes and 2 upstreams
    And a domain "b" with 2 nodes and 4 upstreams
    When 40 new flows in "a" send a request
    Then every request is served
    And upstreams of "b" got no opening

  Scenario: Flows spread evenly over the upstreams of a domain
    # Long flows last for a minute; an upstream with twice its share would queue
    # requests for that long.
    Given a domain "a" with 3 nodes and 4 upstreams
    When 120 new flows in "a" send a request
    Then no upstream of "a" has over 1.3 times the mean of openings

  Scenario: New flows spill over from a domain whose requests queue
    # Only one upstream is left in a domain, and its requests queue.
    Given a domain "a" with 1 node and 1 upstream that works 0.4 seconds
    And a domain "b" with 1 node and 2 upstreams
    When 30 new flows in "a" send a request, one each 0.02 seconds
    Then upstreams of "b" got at least 5 openings
    And every request is served

  Scenario: A domain without upstreams is served by the others
    Given a domain "a" with 1 node and no upstreams
    And a domain "b" with 1 node and 2 upstreams
    When 10 new flows in "a" send a request
    Then every request is served

  Scenario: A cold upstream gets no more new flows than its limit
    # After a crash of its domain an upstream starts again without flows, and
    # all clients reconnect to it within a second. This overloads it again: it
    # can take 40 new flows a second from all nodes together.
    Given a domain "a" with 9 nodes and no upstreams
    And a cold upstream in "a" that bears 40 flows a second
    When 400 new flows in "a" send a request, one each 0.01 seconds
    Then it got at most 40 openings in any second
    And it got at least 40 openings in all

  Scenario: Weights of a route are followed
    # A new version of a service gets one tenth of the flows.
    Given a domain "a" with 1 node and 2 upstreams
    And an upstream of service "desk" in "a"
    And port 8443 goes to "ledger" and "desk" with weights 90 and 10
    When 400 new flows in "a" send a request, one each 0.02 seconds
    Then "desk" got between 20 and 65 openings

  Scenario: Openings are refused if no upstream is known
    # After 3 seconds with a healthy store any living one would be registered.
    Given a domain "a" with 1 node and no upstreams
    When 3 seconds pass
    And 2 new flows in "a" send a request
    And 0.1 seconds pass
    Then every new flow was ended by a node

  Scenario: An opening checks few of many upstreams
    Guards against a cost of openings that grows with the size of the service.
    Given a domain "a" with 1 node and 900 upstreams
    When 50 new flows in "a" are placed
    Then each checked 32 upstreams at most
    And no upstream got more than 3 of them

  Scenario: An opening of a domain without upstreams checks few upstreams
    Guards against a cost of openings that grows with all other domains.
    Given a domain "a" with 1 node and no upstreams
    And a domain "b" with 1 node and 900 upstreams
    When 50 new flows in "a" are placed
    Then each checked 32 upstreams at most
    And no upstream got more than 3 of them
