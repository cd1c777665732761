Feature: Pages that list what the code has
  An operator sees a counter rise, or a caller a reason, that no page
  explains. One that is added without a row on its page is found here.

  Scenario: Every counter of the code is on the page
    Then docs/reference/metrics.md names every counter of the code

  Scenario: Every counter on the page is counted
    Guards against a row that an operator watches although nothing counts it.
    Then every counter on docs/reference/metrics.md is in the code

  Scenario: Every dependency is on the page
    Then docs/internals/dependencies.md names every dependency

  Scenario: Every reason of a failed request is on the page
    Then docs/topics/verdicts.md names every reason of the code
