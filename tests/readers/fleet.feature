Feature: Nodes share the reading of the store
  One node a failure domain reads the store; the others ask it, and read the
  store by themselves as soon as what they know grows old. The real tasks run
  on virtual time, against the stand-in of the store.

  Scenario Outline: Calls grow with the domains, not with the nodes
    # Each node that watched for itself made 0.5 calls a second, 40 with 80
    # nodes. With one reader a domain, 80 nodes in 3 domains make 4.5, and 9
    # nodes in 3 domains the same; a renewal counts as one call here.
    Given a fleet of <nodes> nodes in <domains> domains
    When 10 quiet seconds pass
    Then at most <calls> calls a second were made
    And at most 80 bytes a second went between nodes for each node
    And no node's knowledge was older than 1.8 seconds

    Examples:
      | nodes | domains | calls |
      | 9     | 3       | 5     |
      | 80    | 3       | 5     |
      | 66    | 5       | 8     |
      | 300   | 5       | 8     |

  Scenario: Nodes that start together end with one reader a domain
    # After a loss of power every node finds no reader and offers itself. Two
    # offers at once must not both stand: the second would replace the first.
    Given a fleet of 60 nodes in 3 domains
    Then each domain has one reader

  Scenario Outline: A start costs one reading a node, and little more
    Guards against offers and readings of each node that misses a reader.
    When <nodes> nodes in <domains> domains start together
    Then each domain has one reader
    And calls worth at most <calls> were made

    Examples:
      | nodes | domains | calls |
      | 6     | 3       | 60    |
      | 60    | 3       | 120   |
      | 195   | 5       | 300   |

  Scenario: Connections that fall silent keep nobody behind
    Guards against nodes that all read the store before its reader gives up.
    Given a fleet of 100 nodes in 5 domains
    When the store's open connections fall silent and its history is dropped
    And 4 quiet seconds pass
    Then no node's knowledge was older than 2.0 seconds
    And at most 60 calls were made for it

  Scenario Outline: A store in trouble is not called by all nodes
    Guards against hundreds of calls that tell no more than the first.
    Given a fleet of 100 nodes in 5 domains
    When the store's trouble is "<trouble>" for 6 seconds
    And a manifest is written
    Then it is in force on all nodes within 1.2 seconds
    And at most <calls> calls were made for it

    Examples:
      | trouble | calls |
      | busy    | 250   |
      | reset   | 250   |
      | silent  | 300   |

  Scenario: A follower that reads the store brings its reader up to date
    Guards against a domain that waits for the turn of each of its nodes.
    Given a fleet of 100 nodes in 5 domains
    When the store turns all readers away
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    And at most 250 calls were made for it

  Scenario: A change reaches all nodes at once
    Given a fleet of 40 nodes in 4 domains
    When a manifest is written
    Then it is in force on all nodes within 0.7 seconds

  Scenario: A reader that loses power holds nobody up
    # Its followers can't know: they only hear nothing. A manifest is written
    # in the same moment, and must be in force after 3 seconds everywhere.
    Given a fleet of 24 nodes in 3 domains
    When the reader of "d0" loses power
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    When 7 quiet seconds pass
    Then each domain has one reader

  Scenario: A reader that freezes does not pass for current when it wakes
    # It stands still for 6 seconds, and answers the asks that waited before it
    # looks at the store again.
    Given a fleet of 24 nodes in 3 domains
    When the reader of "d0" freezes
    And a manifest is written
    Then it is in force on all nodes but the frozen within 2.5 seconds
    When 6 quiet seconds pass
    And it wakes
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    When 5 quiet seconds pass
    Then each domain has one reader

  Scenario: A reader that is cut off from the store is not relied on
    # It answers its followers as before, but knows nothing new.
    Given a fleet of 24 nodes in 3 domains
    When the reader of "d0" is cut off from the store
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    When 7 quiet seconds pass
    Then "d0" has another reader

  Scenario: All readers at once
    Given a fleet of 24 nodes in 3 domains
    When all readers lose power
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    When 7 quiet seconds pass
    Then each domain has one reader

  Scenario: The store turns the readers away and serves the others
    Given a fleet of 24 nodes in 3 domains
    When the store turns all readers away
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds

  Scenario: The store turns most nodes away
    # Who is turned away learns from the one node of the domain that is not.
    Given a fleet of 24 nodes in 3 domains
    When the store turns all nodes but the readers away
    And a manifest is written
    Then it is in force on all nodes within 0.7 seconds

  Scenario: A domain that is cut off from the others follows the store
    Given a fleet of 24 nodes in 3 domains
    When "d1" is cut off from the other domains
    And a manifest is written
    Then it is in force on all nodes within 0.7 seconds

  Scenario: Lost datagrams are asked for again
    Given a fleet of 24 nodes in 3 domains
    And a network that loses 0.2 of the datagrams
    When 10 manifests are written, one each 1 seconds
    Then it is in force on all nodes within 2.5 seconds
    And no node's knowledge was older than 2.5 seconds

  Scenario: A store that was down is followed again soon after
    Given a fleet of 24 nodes in 3 domains
    When the store is down for 5 seconds
    And a manifest is written
    Then it is in force on all nodes within 1.2 seconds

  Scenario: Dropped history costs a reading for each domain
    # A watch fails, and what changed meanwhile is known by a whole reading
    # only. The reader tells its followers what that reading changed.
    Given a fleet of 60 nodes in 3 domains
    When upstreams change, one goes, and the history is dropped
    Then all nodes know the upstreams of the store within 2.5 seconds
    And at most 40 calls were made for it

  Scenario: A manifest too large for a datagram is read from the store
    Given a fleet of 12 nodes in 3 domains
    When a manifest of 2000 routes is written
    Then it is in force on all nodes within 2.5 seconds

  Scenario: A reader whose process starts again reads at once
    # Its entry stands until the lease ends, and others go on asking it.
    Given a fleet of 12 nodes in 3 domains
    When the process of the reader of "d0" is killed and starts again
    And 2 quiet seconds pass
    Then the same node reads for "d0"
    And each domain has one reader

  Scenario: A reader that stops hands over at once
    Given a fleet of 12 nodes in 3 domains
    When the reader of "d0" stops in an orderly way
    And 3 quiet seconds pass
    Then "d0" has another reader

  Scenario: A reader that stops while it renews its lease leaves in order
    # Both calls go over one connection. Two at once ended the process before
    # it had forwarded what routers still sent it.
    Given a fleet of 12 nodes in 3 domains
    When the store answers each call 0.3 seconds late
    And the reader of "d0" stops during a renewal
    And 6 quiet seconds pass
    Then "d0" has another reader

  Scenario: A node that was suspended counts the time that it lost
    # The monotonic clock of a suspended machine stands still. What it knew
    # before must not pass for new when it tells others.
    Given a node that has read the store
    When its machine is suspended for 30 seconds
    Then its knowledge is 30 seconds old
