Feature: Documents reach every VM
  A few VMs of each failure domain watch the store, and gossip updates the
  others, so that the number of store calls does not grow with the fleet.

  Scenario: An accepted document is in force everywhere soon
    Given a fleet of 6 entry VMs in each of "cz-a cz-b cz-c"
    When the store accepts a deadline of 7 s
    Then within 5 s a deadline of 7 s is in force on the whole fleet

  Scenario Outline: The store's calls do not grow with the fleet
    Given a fleet of <count> entry VMs in each of "cz-a cz-b"
    Then the store gets at most 2 calls a second from the fleet

    Examples:
      | count |
      | 6     |
      | 18    |

  Scenario: A VM starts while the store is down
    The store is down and a VM is replaced. It has the fleet's keys from its
    settings and must get the newest document from its peers before it serves,
    or it would answer callers that their service does not exist.

    Given a fleet of 4 entry VMs in each of "cz-a cz-b"
    When the store accepts a deadline of 7 s
    And the fleet runs for 4 seconds
    And the store goes down
    And the fleet's "cz-a-1" is replaced with the fleet's keys in its settings
    Then within 3 s the fleet's "cz-a-1" serves
    And within 0 s a deadline of 7 s is in force on the whole fleet

  Scenario: A VM starts with neither store nor peers
    It has no documents, so any answer could be wrong.

    Given a fleet of 1 entry VMs in each of "cz-a"
    When the store accepts a deadline of 7 s
    And the store goes down
    And the fleet's "cz-a-1" is replaced with the fleet's keys in its settings
    And the fleet runs for 10 seconds
    Then the fleet's "cz-a-1" does not serve
    When the store comes back
    Then within 3 s the fleet's "cz-a-1" serves

  Scenario: A record that cannot be decoded changes nothing
    Another tool writes a document that the VMs cannot decode. The previous one
    stays in force, and later edits still arrive.

    Given a fleet of 4 entry VMs in each of "cz-a cz-b"
    When the store accepts a deadline of 7 s
    And the fleet runs for 4 seconds
    And the store is given an invalid document
    And the fleet runs for 5 seconds
    Then within 0 s a deadline of 7 s is in force on the whole fleet
    When the store accepts a deadline of 8 s over it
    Then within 5 s a deadline of 8 s is in force on the whole fleet

  Scenario: A deleted document stays deleted
    A VM that was partitioned still holds the document. Its record is older than
    the deletion, so the service must not come back when the partition heals.

    Given a fleet of 4 entry VMs in each of "cz-a cz-b"
    When the store accepts a deadline of 7 s
    And the fleet runs for 4 seconds
    And the fleet's "cz-a-1" is cut off from all others and the store
    And the store accepts a deletion
    And the fleet runs for 8 seconds
    And the fleet's cuts heal
    Then within 5 s no service is in force on the whole fleet

  Scenario: New keys reach VMs that do not watch the store
    The keys rotate. Watchers sign with the new key at once. Other VMs reject it
    as unknown until they have fetched it, and could confirm the watchers dead.

    Given a fleet of 6 entry VMs in each of "cz-a cz-b"
    When the fleet's keys rotate
    Then for 10 s the fleet always has 6 members in "cz-a"
    And the fleet's VMs all sign with the new key

  Scenario Outline: An accepted document never reverts
    Edits overtake each other, a failure domain is partitioned and heals, the
    store answers late or with stale data, VMs restart and are paused.

    Then the proof document-in-force holds with seed <seed>
    And the proof document-in-force sees its control fail with seed <seed>

    Examples:
      | seed |
      | 1    |
