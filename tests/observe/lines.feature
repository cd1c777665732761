Feature: Log lines for state changes
  An upstream is down for ten minutes and its owner retries twice a second. With
  a line for each attempt the log would have 1,200 of them, which hide the line
  that shows when it began or that another upstream failed too.

  Scenario: An outage logs one line when it begins and one when it ends
    Given a logged upstream that refuses connections
    When ten minutes pass and it accepts them again
    Then the log has the lines "upstream unreachable" and "upstream connected"
