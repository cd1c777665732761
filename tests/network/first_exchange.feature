Feature: Minimal HTTP client for the initial read of the store
  A start reads the store without h11, which takes longer to import than
  everything else before the first packet.

  Scenario Outline: A response is complete however it is split
    Given a minimal HTTP exchange
    When a response of 300 bytes arrives in parts of <size> bytes
    Then it is complete with status 200

    Examples:
      | size |
      | 1    |
      | 7    |
      | 4096 |

  Scenario: A head is decoded once, however long its body is
    # After a power failure all nodes read the store before they serve. A large
    # manifest arrives in hundreds of parts; for each of them the bytes before
    # it were copied and the head was decoded again.
    Given a minimal HTTP exchange
    When a response of 300 bytes arrives in parts of 1 bytes
    Then its head was decoded 1 time

  Scenario: Consecutive responses are separated
    Given a minimal HTTP exchange
    When two responses arrive in one part
    Then both are decoded in order

  Scenario Outline: An unsupported response is an error
    # The main program then reads the store again with h11.
    Given a minimal HTTP exchange
    When it receives <what>
    Then it ends with an error

    Examples:
      | what                            |
      | a chunked response              |
      | a response without a length     |
      | a head without an end           |
      | bytes that are not HTTP         |
      | the end of the connection       |
