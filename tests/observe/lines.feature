Feature: Log lines for changes of state
  An upstream is down for ten minutes. Its owner tries it twice a second; with a
  line for each try the log holds 1,200 of them, and the line that says when
  it began, or that another upstream went too, is not found.

  Scenario: An outage writes one line when it begins and one when it ends
    Given a logged upstream that refuses connections
    When ten minutes pass and it accepts them again
    Then the log has the lines "upstream unreachable" and "upstream connected"
