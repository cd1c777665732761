Feature: The header in front of each packet
  Anybody can send datagrams to a node. What no client would write is counted
  and dropped, and nothing grows with it.

  Scenario: The published example is read and written
    Given the opening packet of the published example
    Then it opens a flow of 100.64.0.7:40001 to 198.18.0.1:443
    And a reset of its flow is the published one

  Scenario: Random datagrams neither crash a node nor make it grow
    # Fuzzing, by hypothesis with a fixed seed: whole random datagrams, and
    # openings with a few bytes changed, cut short or made longer.
    Given a domain "a" with 1 node and 2 upstreams
    And a table that keeps 64 flows
    When 2000 random datagrams reach the node
    Then each was dropped, forwarded or answered with a reset
    And the node holds at most 64 flows

  Scenario: A flood of openings stays within the table of flows
    # Each opening is a new flow; an attacker sends a million.
    Given a domain "a" with 1 node and 2 upstreams
    And a table that keeps 100 flows
    When 500 new flows in "a" send a request
    Then the node holds at most 100 flows

  Scenario: A forged answer is not forwarded
    # An opening with an acknowledgement comes from upstreams alone; one that
    # reached an upstream would be taken for forged.
    Given a domain "a" with 1 node and 2 upstreams
    When a packet with the flags 192 reaches the node
    Then it was counted as "malformed"
