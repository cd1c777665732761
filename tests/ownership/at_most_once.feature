Feature: At most once
  A newsagent posts a returns count. The network copies, delays and sprays its
  packets while the owner of the upstream is killed, paused, cut off or
  replaced. A count that ran twice would credit one stack of papers twice.

  Scenario Outline: A count runs at most once through two faults of its owner
    When the story of at-most-once runs with seed <seed>
    Then no count ran twice

    Examples: seeds of the first hundred that show each fault
      | seed |
      | 3    |
      | 5    |
      | 7    |

  Scenario: A cancelled request on a connection that is gone harms nothing
    An owner is killed while it cancels a request at the upstream. The reset
    frame meets a closed stream; its error used to end the whole node.
    When the story of at-most-once runs with seed 12
    Then no count ran twice

  Scenario: The check sees a window that forgets
    When the story of at-most-once runs with seed 3 and naive guards
    Then some count ran twice
