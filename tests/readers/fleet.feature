Feature: Nodes share the reading of the store
  One node of each failure domain reads the store. The others request updates
  from it, and read the store themselves once their data is too old. The real
  tasks run in virtual time against a fake store.

  Scenario Outline: Calls grow with the domains, not with the nodes
    # A node that watches the store itself makes 0.5 calls a second, 80 nodes
    # make 40. With one reader per domain, 80 nodes in 3 domains make 4.5, and
    # so do 9 nodes in 3 domains; a lease renewal counts as one call here.
    Given a fleet of <nodes> nodes in <domains> domains
    When 10 quiet seconds pass
    Then at most <calls> calls a second were made
    And at most 80 bytes a second went between nodes for each node
    And no node's data was older than 1.8 seconds

    Examples:
      | nodes | domains | calls |
      | 9     | 3       | 5     |
      | 80    | 3       | 5     |
      | 66    | 5       | 8     |
      | 300   | 5       | 8     |

  Scenario: Nodes that start together elect one reader per domain
    # After a power loss no node finds a reader, and all campaign. Of two
    # concurrent campaigns only one may succeed, or the second would replace the
    # first.
    Given a fleet of 60 nodes in 3 domains
    Then each domain has one reader

  Scenario Outline: A start costs one full read per node, and little more
    Guards against a campaign and a full read by every node without a reader.
    When <nodes> nodes in <domains> domains start together
    Then each domain has one reader
    And calls worth at most <calls> were made

    Examples:
      | nodes | domains | calls |
      | 6     | 3       | 60    |
      | 60    | 3       | 120   |
      | 195   | 5       | 300   |

  Scenario: Connections that stop carrying data delay no update
    Guards against reads by all nodes before their reader's call times out.
    Given a fleet of 100 nodes in 5 domains
    When the store's open connections hang and its history is dropped
    And 4 quiet seconds pass
    Then no node's data was older than 2.0 seconds
    And at most 60 calls were made for it

  Scenario Outline: A failing store is not called by all nodes
    Guards against hundreds of calls that return no more than the first.
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
    Guards against a domain in which each node waits for its own read.
    Given a fleet of 100 nodes in 5 domains
    When the store refuses all readers
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    And at most 250 calls were made for it

  Scenario: A change reaches all nodes at once
    Given a fleet of 40 nodes in 4 domains
    When a manifest is written
    Then it is in force on all nodes within 0.7 seconds

  Scenario: A reader that loses power delays no update
    # Its followers only see missing answers. A manifest is written at the same
    # time, and must be in force everywhere after 3 seconds.
    Given a fleet of 24 nodes in 3 domains
    When the reader of "d0" loses power
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    When 7 quiet seconds pass
    Then each domain has one reader

  Scenario: A reader that was paused does not report its old data as current
    # It is paused for 6 seconds, and answers the requests that have queued up
    # before it reads the store again.
    Given a fleet of 24 nodes in 3 domains
    When the reader of "d0" is paused
    And a manifest is written
    Then it is in force on all nodes but the paused one within 2.5 seconds
    When 6 quiet seconds pass
    And the paused reader is resumed
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    When 5 quiet seconds pass
    Then each domain has one reader

  Scenario: Followers do not rely on a reader without connection to the store
    # It still answers its followers, but gets no changes.
    Given a fleet of 24 nodes in 3 domains
    When the reader of "d0" is cut off from the store
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    When 7 quiet seconds pass
    Then "d0" has another reader

  Scenario: All readers lose power at once
    Given a fleet of 24 nodes in 3 domains
    When all readers lose power
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds
    When 7 quiet seconds pass
    Then each domain has one reader

  Scenario: The store refuses the readers and serves the others
    Given a fleet of 24 nodes in 3 domains
    When the store refuses all readers
    And a manifest is written
    Then it is in force on all nodes within 2.5 seconds

  Scenario: The store refuses most nodes
    # Refused nodes get changes from the one node of their domain that is not.
    Given a fleet of 24 nodes in 3 domains
    When the store refuses all nodes but the readers
    And a manifest is written
    Then it is in force on all nodes within 0.7 seconds

  Scenario: A domain that is cut off from the others follows the store
    Given a fleet of 24 nodes in 3 domains
    When "d1" is cut off from the other domains
    And a manifest is written
    Then it is in force on all nodes within 0.7 seconds

  Scenario: Lost datagrams are requested again
    Given a fleet of 24 nodes in 3 domains
    And a network that loses 0.2 of the datagrams
    When 10 manifests are written, one each 1 seconds
    Then it is in force on all nodes within 2.5 seconds
    And no node's data was older than 2.5 seconds

  Scenario: A store that was down is followed again soon after
    Given a fleet of 24 nodes in 3 domains
    When the store is down for 5 seconds
    And a manifest is written
    Then it is in force on all nodes within 1.2 seconds

  Scenario: Dropped history costs one full read per domain
    # A watch fails, and only a full read shows what has changed meanwhile. The
    # reader sends its followers the changes that the read showed.
    Given a fleet of 60 nodes in 3 domains
    When upstreams change, one goes, and the history is dropped
    Then all nodes know the upstreams of the store within 2.5 seconds
    And at most 40 calls were made for it

  Scenario: A manifest too large for a datagram is read from the store
    Given a fleet of 12 nodes in 3 domains
    When a manifest of 2000 routes is written
    Then it is in force on all nodes within 2.5 seconds

  Scenario: A reader whose process restarts reads the store at once
    # Its entry exists until the lease expires, and others still send requests.
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

  Scenario: A reader can stop while it renews its lease
    # Both calls use one connection. Two concurrent calls ended the process
    # before it had forwarded the packets that routers still sent it.
    Given a fleet of 12 nodes in 3 domains
    When the store answers each call 0.3 seconds late
    And the reader of "d0" stops during a renewal
    And 6 quiet seconds pass
    Then "d0" has another reader

  Scenario: The age of data includes the time of a suspension
    # The monotonic clock of a suspended machine stops. A node must not send
    # data from before the suspension as current.
    Given a node that has read the store
    When its machine is suspended for 30 seconds
    Then its data is 30 seconds old
