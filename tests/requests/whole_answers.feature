Feature: Complete answers
  Blocks of two answers of one path must not be mixed when both are fetched at
  once and their blocks arrive in any order. A POST must not run again for each
  block of its answer.

  Scenario: Answers stay complete on lossy links while an entry VM ends
    When the request proof "whole-answer" runs on seeds 1 to 8
    Then the request promise holds each time
    And the request proof leaves the same trace for the same seed

  Scenario: Running a request again for each block breaks the promise
    When the request proof "whole-answer" runs on seeds 1 to 2 as a control run
    Then the request promise is broken each time

  Scenario: An answer of 4 MB is complete
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller fetches 4194304 bytes
    Then the block-wise answer is complete

  Scenario: A body of 4 MB is complete
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller posts 4194304 bytes
    Then the block-wise upstream has run the complete body once

  Scenario: An answer above 4 MB is refused
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller fetches 4194305 bytes
    Then the block-wise call fails as "answer-too-large" and "ran"

  Scenario: A body above 4 MB is refused before it runs
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller posts 4194305 bytes
    Then the block-wise call fails as "body-too-large" and "not-run"

  Scenario: The owner dies while an answer is fetched
    The VM that stored the answer has died, so the remaining blocks are lost. The
    caller fetches the complete answer again.

    Given a block-wise upstream behind three entry VMs
    When a block-wise caller fetches 400000 bytes while their owner dies
    Then the block-wise answer is complete

  Scenario: The owner stops as planned while an answer is fetched
    Given a block-wise upstream behind three entry VMs
    When a block-wise caller posts for 2000000 bytes while their owner stops
    Then the block-wise answer is complete
    And the block-wise upstream has run one request

  Scenario: A VM without space for answers refuses requests before they run
    Given a block-wise store of 10000 bytes
    When block-wise answers of 4000 bytes are stored until one is refused
    Then the block-wise store held 2 answers and refused as "overloaded" and "not-run"
    When the stored block-wise answers are fetched
    Then the block-wise store has space again

  Scenario: Blocks of a body come in any order and twice
    Given a body of 5 blocks
    When its blocks arrive in the order 3 0 0 2 1 3 4
    Then the body is assembled completely

  Scenario: A body with a missing block is refused before it runs
    Given a body of 5 blocks
    When its blocks arrive in the order 0 1 3 4
    Then the body is refused as "body-incomplete"
