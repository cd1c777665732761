Feature: Where new flows are opened
  Decided by one node from what it sees, without a word to others.

  Scenario: Flows stay in their own failure domain
    # A cut between the domains must not reach flows that had no need to cross
    # it, and bytes between domains cost.
    Given a domain "a" with 2 nodes and 2 upstreams
    And a domain "b" with 2 nodes and 4 upstreams
    When 40 new flows in "a" send a request
    Then every request is served
    And upstreams of "b" got no opening

  Scenario: Flows spread evenly over the upstreams of a domain
    # Long flows stay for a minute; an upstream that got twice its share would
    # queue for as long.
    Given a domain "a" with 3 nodes and 4 upstreams
    When 120 new flows in "a" send a request
    Then no upstream of "a" has over 1.3 times the mean of openings

  Scenario: A domain that queues sends new flows to the others
    # One of three upstreams is left in a domain, and its requests pile up.
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

  Scenario: A cold upstream gets no more than it can bear
    # After a crash of its domain an upstream comes back empty, and every
    # client reconnects to it within a second: it falls over again. It bears
    # 40 new flows a second, through all nodes together.
    Given a domain "a" with 9 nodes and no upstreams
    And a cold upstream in "a" that bears 40 flows a second
    When 400 new flows in "a" send a request, one each 0.01 seconds
    Then it got at most 40 openings in any second
    And it got at least 40 openings in all

  Scenario: Weights of a route are followed
    # A new version of a service gets a tenth of the flows.
    Given a domain "a" with 1 node and 2 upstreams
    And an upstream of service "desk" in "a"
    And port 8443 goes to "ledger" and "desk" with weights 90 and 10
    When 400 new flows in "a" send a request, one each 0.02 seconds
    Then "desk" got between 20 and 65 openings

  Scenario: Nothing is opened when no upstream is known
    # After 3 seconds of a working store, in which any would be back.
    Given a domain "a" with 1 node and no upstreams
    When 3 seconds pass
    And 2 new flows in "a" send a request
    And 0.1 seconds pass
    Then every new flow was ended by a node

  Scenario: An opening looks at few of many upstreams
    Guards against openings whose cost grows with the service.
    Given a domain "a" with 1 node and 900 upstreams
    When 50 new flows in "a" are placed
    Then each looked at 32 upstreams at most
    And no upstream got more than 3 of them

  Scenario: An opening of a domain without upstreams looks at few upstreams
    Guards against openings whose cost grows with all other domains.
    Given a domain "a" with 1 node and no upstreams
    And a domain "b" with 1 node and 900 upstreams
    When 50 new flows in "a" are placed
    Then each looked at 32 upstreams at most
    And no upstream got more than 3 of them
