Feature: Reading the store before the libraries are there
  A start reads the store with a few lines of its own: h11 takes longer to
  import than everything else on the way to the first packet.

  Scenario Outline: An answer is whole however it arrives
    Given a first exchange
    When an answer of 300 bytes arrives in pieces of <size> bytes
    Then it is read whole with status 200

    Examples:
      | size |
      | 1    |
      | 7    |
      | 4096 |

  Scenario: A head is read once, however long its body is
    # After a loss of power all nodes read the store before they serve. A large
    # manifest comes in hundreds of pieces, and with each of them all that was
    # there before was copied and its head was read again.
    Given a first exchange
    When an answer of 300 bytes arrives in pieces of 1 bytes
    Then its head was read 1 time

  Scenario: Answers that follow each other are told apart
    Given a first exchange
    When two answers arrive in one piece
    Then both are read, in their order

  Scenario Outline: What is not understood is an error, not an answer
    # The program proper reads the store again, with a library that knows more.
    Given a first exchange
    When it receives <what>
    Then it ends with an error

    Examples:
      | what                            |
      | an answer in chunks             |
      | an answer without a length      |
      | a head without an end           |
      | something that is no HTTP       |
      | the end of the connection       |
