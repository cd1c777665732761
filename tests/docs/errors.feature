Feature: Error codes
  An operator looks a code up. A code that two errors share, or that the page
  does not have, sends them the wrong way.

  Scenario: Every code stands for one error and is on the page
    Then no two errors share a code
    And docs/reference/errors.md is as "python -m tools.pages" writes it
