Feature: Packet header
  Anybody can send datagrams to a node. Malformed ones are counted and dropped,
  and no table of the node grows without bound.

  Scenario: The published example is parsed and its reset is built
    Given the opening packet of the published example
    Then it opens a flow of 100.64.0.7:40001 to 198.18.0.1:443
    And the reset of its flow is the published one

  Scenario: Random datagrams neither crash a node nor grow its tables
    # Fuzzing by hypothesis with a fixed seed: random datagrams, and openings
    # with a few bytes changed, truncated or extended.
    Given a domain "a" with 1 node and 2 upstreams
    And a flow table with room for 64 flows
    When 2000 random datagrams reach the node
    Then each was dropped, forwarded or reset
    And the node holds at most 64 flows

  Scenario: A flood of openings does not exceed the flow table
    # Each opening is a new flow; an attacker may send a million.
    Given a domain "a" with 1 node and 2 upstreams
    And a flow table with room for 100 flows
    When 500 new flows in "a" send a request
    Then the node holds at most 100 flows

  Scenario: A forged SYN-ACK is not forwarded
    # Only upstreams send SYN with ACK. An upstream treats one that it receives
    # as forged.
    Given a domain "a" with 1 node and 2 upstreams
    When a packet with the flags 192 reaches the node
    Then it was counted as "malformed"
