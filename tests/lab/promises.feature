Feature: The ten promises
  Each promise has a proof that brings about the failures it is meant for. A
  proof holds on any seed, and its control, with the guard replaced by a naive
  baseline, shows the violation: so it is a check that can fail.

  Scenario Outline: The promise <name> holds and its control does not
    Given the proof "<name>"
    When the proof runs with seeds 1 to 3
    Then the promise held on every seed
    When the proof's control runs with seed 1
    Then the control shows the violation and its trace

    Examples:
      | name              |
      | flow-survives     |
      | service-isolation |
      | cold-start        |
      | domain-out        |
      | whole-answer      |
      | refused-not-run   |
      | at-most-once      |
      | upstream-leaving  |
      | graceful-stop     |
      | document-in-force |

  Scenario: The same seed gives the same result and trace
    When all proofs run twice in processes of different hash seeds
    Then both printed the same

  Scenario: A promise without a proof ends with 2
    When the proof of a missing module is asked for
    Then it reports no proof and the exit code 2
