Feature: At most once
  No request may run twice, although packets are duplicated, delayed or sent
  through other entry VMs while the owner of the upstream is killed, paused,
  partitioned or replaced.

  Scenario Outline: A request runs at most once through two faults of its owner
    When the at-most-once simulation runs with seed <seed>
    Then no request ran twice

    Examples: seeds of the first hundred that cover each fault
      | seed |
      | 3    |
      | 5    |
      | 7    |

  Scenario: A cancellation on a closed connection does not end the entry VM
    An owner is killed while it cancels a request at the upstream. The reset
    frame was sent on a closed stream, and the error ended the whole node.
    When the at-most-once simulation runs with seed 12
    Then no request ran twice

  Scenario: The check detects a window without deduplication
    When the at-most-once simulation runs with seed 3 as a control run
    Then some request ran twice
