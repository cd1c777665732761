Feature: What stands in the store may be anything
  Operators' tools, upstreams and strangers write there. Nothing that stands
  under any key may end a node.

  Scenario: Random values under every kind of key are news or refused
    # Fuzzing, by hypothesis with a fixed seed: random bytes, random JSON, and
    # good entries in which some fields were replaced.
    When 2000 random values are decoded
    Then each gave news, none, or the error "burdocksill.E107"

  Scenario Outline: Values that broke a decoder
    # Each of them ended a node that read it.
    When <value> is decoded
    Then each gave news, none, or the error "burdocksill.E107"

    Examples:
      | value                           |
      | a limit of 10 to the power 400  |
      | a weight of 10 to the power 400 |
      | 100000 brackets                 |

  Scenario: A manifest that changes one route decodes one route
    # Openings were answered late in the second in which a large manifest
    # changed: a weak machine decoded thousands of routes that had not.
    Given a manifest of 1000 routes that was decoded
    When it is decoded again with one route changed, one added and one removed
    Then 2 routes were decoded
    And its routes are those that a new decoder finds

  Scenario: A route that is wrong by its type alone is refused again
    # Equal values of another type must not pass for a route that was good.
    Given a manifest of 10 routes that was decoded
    When it is decoded again with a priority of true for 1
    Then it is refused with "burdocksill.E107"
