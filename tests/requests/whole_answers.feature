Feature: Whole answers
  A newsagent asks for a statement and gets lines of another one in its middle.
  Both were asked for at once, the entry VMs took their blocks in any order,
  and the blocks were told apart by path alone. Or the return that was posted
  is counted once for each block of its answer, since every block ran it anew.

  Scenario: Answers stay whole on lossy links while an entry VM ends
    When the request proof "whole-answer" runs on seeds 1 to 8
    Then the request promise holds each time
    And the request proof leaves the same trace for the same seed

  Scenario: Running a request again for each block breaks the promise
    When the request proof "whole-answer" runs on seeds 1 to 2 without its guard
    Then the request promise is broken each time

  Scenario: A statement of 4 MB comes whole
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller fetches 4194304 bytes
    Then the block-wise answer is whole

  Scenario: A body of 4 MB goes up whole
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller posts 4194304 bytes
    Then the block-wise upstream has run it whole and once

  Scenario: An answer above 4 MB is refused clearly
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller fetches 4194305 bytes
    Then the block-wise call fails as "answer-too-large" and "ran"

  Scenario: A body above 4 MB is refused before it runs
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller posts 4194305 bytes
    Then the block-wise call fails as "body-too-large" and "not-run"

  Scenario: The owner ends while a statement is fetched
    A statement stops in its middle because the VM that kept it has died. The
    caller asks for the rest, nobody has it, and the whole is fetched anew.

    Given a block-wise upstream behind three entry VMs
    When a block-wise caller fetches 400000 bytes while their owner ends
    Then the block-wise answer is whole

  Scenario: The owner stops as planned while a statement is fetched
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller posts for 2000000 bytes while their owner stops
    Then the block-wise answer is whole
    And the block-wise upstream has run one request

  Scenario: A VM full of unfetched answers refuses before a request runs
    Given a block-wise keeper for 10000 bytes
    When block-wise answers of 4000 bytes are kept until one is refused
    Then the block-wise keeper held 2 answers and refused as "overloaded" and "not-run"
    When the kept block-wise answers are fetched
    Then the block-wise keeper has room again

  Scenario: Blocks of a body come in any order and twice
    Given a body of 5 blocks
    When its blocks arrive in the order 3 0 0 2 1 3 4
    Then the body is put together whole

  Scenario: A body with a hole is refused before it runs
    Given a body of 5 blocks
    When its blocks arrive in the order 0 1 3 4
    Then the body is refused as "body-incomplete"
