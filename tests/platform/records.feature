Feature: Decoding arbitrary values of the store
  Operators' tools, upstreams and others write to the store. No value of any key
  may end a node's process.

  Scenario: Random values of every kind of key are decoded or refused
    # Fuzzing by hypothesis with a fixed seed: random bytes, random JSON, and
    # valid entries with some fields replaced.
    When 2000 random values are decoded
    Then each gave an update, none, or the error "burdocksill.E107"

  Scenario Outline: Values that made a decoder crash
    # Each of them ended a node's process.
    When <value> is decoded
    Then each gave an update, none, or the error "burdocksill.E107"

    Examples:
      | value                           |
      | a limit of 10 to the power 400  |
      | a weight of 10 to the power 400 |
      | 100000 brackets                 |

  Scenario: A manifest that changes one route decodes one route
    # Openings were answered late while a slow machine decoded thousands of
    # unchanged routes of a large manifest.
    Given a manifest of 1000 routes that was decoded
    When it is decoded again with one route changed, one added and one removed
    Then 2 routes were decoded
    And its routes are those that a new decoder finds

  Scenario: A cached route does not hide a field of the wrong type
    # True equals 1, so a cache by value would accept the invalid route.
    Given a manifest of 10 routes that was decoded
    When it is decoded again with the priority true instead of 1
    Then its only fault is the "Priority" of one route
