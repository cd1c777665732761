Feature: Messages from other nodes
  Datagrams between nodes may be lost, duplicated, late, forged or corrupt.

  Scenario: Decoding returns what was encoded
    When changes, removals and unusual bytes are encoded and decoded
    Then they are the same

  Scenario: Corrupt datagrams are rejected
    # Any bytes may arrive at a port. They must neither end a node nor make it
    # decompress without bound.
    When 20000 random and corrupt datagrams are decoded
    Then each was rejected or is a valid message
    And a datagram that would decompress to 64 MB is rejected

  Scenario: An update that was not requested changes nothing
    # A forged datagram could add an upstream.
    Given a node that knows revision 20 and has requested changes
    When an update with another token arrives
    Then nothing has changed
    When an update arrives from an address without a request
    Then nothing has changed
    When the requested update arrives
    Then the node knows revision 25

  Scenario: A late update reverts nothing
    # A reader that was partitioned answers late with old data.
    Given a node that knows revision 20 and has requested changes
    When an update arrives that ends at revision 15
    Then the node knows revision 20
    And the upstream of revision 20 is still there

  Scenario: An update after a lost one leads to a new request
    Given a node that knows revision 20 and has requested changes
    When an update arrives that begins at revision 22
    Then the node knows revision 20
    And it requests at once the changes after 20

  Scenario: Followers learn of a reader's failures to reach the store
    # Entries expired while the store was down. The reader has reached it again
    # for a second; its follower noticed no failure. Until upstreams have had
    # time to register again, none may count as gone.
    Given a node that knows revision 20 and has requested changes
    When an update reports that the store has worked for 1.0 seconds
    Then the node counts absences from 1.0 seconds ago

  Scenario: A new node learns from a reader how long the store has worked
    Guards against clients that wait until a node has itself seen it work.
    Given a node that knows revision 20 and has requested changes
    When an update reports that the store has worked for 30.0 seconds
    Then the node counts absences from 30.0 seconds ago

  Scenario: A reader's later failure replaces its earlier report
    Guards against entries that count as gone after the store lost them.
    Given a node that knows revision 20 and has requested changes
    When an update reports that the store has worked for 30.0 seconds
    And an update reports that the store has worked for 1.0 seconds
    Then the node counts absences from 1.0 seconds ago

  Scenario: A slow machine campaigns later than a fast one
    # The domain's reader answers all of its nodes.
    When 200 nodes of 2.0 and 200 of 0.2 cores have no reader
    Then the mean delay of the slow is at least 3 times that of the fast
    And nobody waits longer than 4.0 seconds

  Scenario: A reader that cannot renew its lease steps down in time
    # The lease expires after 4 seconds, and another node is elected.
    Given a node that reads for its domain
    When no renewal succeeds for 4.1 seconds
    Then it does not read for its domain any more

  Scenario: Campaigns do not overload a failing store
    # The store is down and every lease has expired. Each domain's last reader
    # finds its own old entry, and campaigned twice a second.
    Given a node that finds its own old entry
    When its campaigns fail for 6 seconds
    Then it has campaigned at most 5 times

  Scenario: Of several versions in one answer only the newest is decoded
    # A node with old data got two versions of a large manifest in one answer,
    # and delayed packets while it decoded one that was already replaced.
    Given a node that knows the store
    When one answer contains manifests 2, 3 and 4
    Then 1 entries were decoded
    And manifest 4 is in force

  Scenario: A reader sends the newest change of each key
    Given a log of changes that begins at revision 10
    When the key "a" changes in 11 and 13, and the key "b" in 12
    Then the log returns after 10: b of 12, a of 13
    And the log returns after 12: a of 13

  Scenario: A log that has dropped a change is not complete
    # A full read is sorted by key. The log dropped its first change of revision
    # 30, then one of 20, and returned no changes after 25.
    Given a log of changes that begins at revision 10 and keeps 1
    When a full read shows "a" of 30, "b" of 20 and "c" of 15
    Then the log has no complete changes after 25

  Scenario: A log keeps what a restore has made older
    Guards against followers that miss the last changes before a restore.
    Given a log of changes that begins at revision 10
    When the key "a" changes in 11, and an older "a" is restored in era 1
    Then the log returns after 10: a of 11, a of 1.9
    And the log returns after 11: a of 1.9

  Scenario: A log does not know what a restore has lost of a follower
    Guards against followers that keep changes that were lost.
    Given a log of changes that begins at revision 10
    When the key "a" changes in 11, and an older "a" is restored in era 1
    Then the log has no complete changes after 12
    And the log has no complete changes after 9

  Scenario: A log does not know what led to its first reading after a restore
    Guards against a follower that misses a removal after a restore.
    Given a log of changes that begins at revision 10
    When the key "a" changes in 11, and an older "a" is restored in era 1
    Then the log has no complete changes after 8 of era 1
    And the log has complete changes after 10 of era 1

  Scenario: Nodes without eras do not follow each other's revisions
    Guards against a node that takes an older build's update for current.
    When messages of kinds 1, 2, 4 and 5 are decoded
    Then each was rejected

  Scenario: Differences to an earlier era are not taken for changes
    Guards against removals that count as new on a node that knew of a restore.
    Given a node that knows revision 20 and has requested changes
    When the requested update arrives with a restore
    And an update from before the restore arrives that ends later
    Then the node knows revision 1.18
    And it requests at once the changes after 1.18

  Scenario: Differences to a state before the known one are not complete
    Guards against a follower that keeps what a restore has lost.
    Given a node that knows revision 20 and has requested changes
    When an update arrives that begins at 19 and ends after a restore
    Then the node knows revision 20
    And it requests at once the changes after 20

  Scenario: A follower learns of a restore from its reader
    Guards against followers that take revisions after a restore for old ones.
    Given a node that knows revision 20 and has requested changes
    When the requested update arrives with a restore
    Then the node knows revision 1.18
    And the node counts absences from 0.0 seconds ago

  Scenario: Only the differences of a full read are applied
    # The history was dropped while little changed. Decoding a large manifest
    # again that is already in force would delay packets.
    Given a node that knows the store
    When the store is read in full after one upstream came and one went
    Then 2 entries were decoded
    And the node knows the upstreams of the store

  Scenario: Changes that exceed the decompression limit are not sent
    # A manifest with similar routes compresses into one datagram. Receivers
    # reject it above their limit as corrupt, and never learn that they have to
    # read the store.
    When changes of 2 MB that compress into a datagram are encoded
    Then they are left to the store

  Scenario: More notices of silence than a datagram holds are all told
    # Guards against a datagram that all receivers reject for its size.
    Given a reader with 2 subscribers that finds 300 upstreams silent at once
    When it tells them
    Then each subscriber can read 300 notices
