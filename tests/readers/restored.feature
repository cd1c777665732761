Feature: Nodes follow a store that was restored from a copy
  The store loses its last changes and gives their revisions out again. What
  operators and upstreams wrote is written again within 2 seconds.

  Scenario Outline: Changes after a restore are in force in time
    Guards against changes ignored until revisions exceed those from before.
    Given a fleet of <nodes> nodes in 3 domains
    When the store is copied
    And 8 changes are written
    And 1 quiet seconds pass
    And the store is away for 1.5 seconds and restored from the copy
    And 5 quiet seconds pass
    And upstream 3 announces that it leaves
    And a manifest is written
    Then it is in force on all nodes within 2.0 seconds
    And no node sends new flows to upstream 3

    Examples:
      | nodes |
      | 6     |
      | 24    |
      | 195   |

  Scenario: Readers whose election was lost are elected again
    Guards against readers that renew a lease which belongs to another now.
    Given a fleet of 12 nodes in 3 domains
    When the store is copied
    And all readers lose power
    And 7 quiet seconds pass
    Then each domain has one reader
    When the store is away for 0.5 seconds and restored from the copy
    And 10 quiet seconds pass
    Then each domain has one reader
    And each reader is the one in the store

  Scenario Outline: A reader whose lease number is given out again steps down
    Guards against two readers of one domain, one of which renews another's lease.
    Given a fleet of <nodes> nodes in 5 domains, from seed <seed>
    When all readers lose power
    And the store is copied while 2 domains have no reader
    And 5 quiet seconds pass
    Then each domain has one reader
    When the store is away for 0.5 seconds and restored from the copy
    And 8 quiet seconds pass
    Then each domain has one reader
    And each reader is the one in the store

    Examples:
      | nodes | seed |
      | 15    | 1    |
      | 15    | 8    |
      | 30    | 8    |
      | 100   | 8    |

  Scenario Outline: What nodes know of operators and upstreams does not go back
    Guards against flows to upstreams and domains that a copy shows as before.
    When the store is restored twice at random times, with <nodes> nodes in 3 domains
    Then no promise is broken in <plays> plays

    Examples:
      | nodes | plays |
      | 6     | 12    |
      | 24    | 3     |

  Scenario Outline: Nodes that are disturbed during a restore catch up
    Guards against stale nodes, and domains without a reader, after two faults.
    When the store is restored twice at random times, with <nodes> nodes in 3 domains
    And a reader, or all nodes, are disturbed each time
    Then no promise is broken in <plays> plays

    Examples:
      | nodes | plays |
      | 6     | 6     |
      | 24    | 3     |
      | 195   | 1     |

  Scenario Outline: A restore costs one full read per domain
    Guards against full reads by all nodes, also for an old manifest that is large.
    Given a fleet of <nodes> nodes in 5 domains
    When a manifest of <routes> routes is written
    And 3 quiet seconds pass
    And the store is copied
    And 8 changes are written
    And a manifest of <routes> routes is written
    And 3 quiet seconds pass
    And the store is away for 0.5 seconds and restored from the copy
    And 4 quiet seconds pass
    Then at most 5 full reads were made since the restore
    And no node's data was older than 2.0 seconds

    Examples:
      | nodes | routes |
      | 15    | 1      |
      | 40    | 1400   |
