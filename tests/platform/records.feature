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
