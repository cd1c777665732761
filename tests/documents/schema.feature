Feature: The schema of a service's document
  An invalid document must change nothing, and its team must see which line to
  correct: the path, the wrong value and a hint.

  Scenario Outline: An error names path, value and hint
    Given a schema text with <line> in its upstream
    Then the schema refuses it with <path>, <value> and <hint>

    Examples:
      | line             | path                   | value       | hint        |
      | slotz = 2        | upstreams[0].slotz     | 2           | write slots |
      | slots = "two"    | upstreams[0].slots     | 'two'       | document.md |
      | slots = 0        | upstreams[0].slots     | 0           | at least 1  |
      | port = 70000     | upstreams[0].port      | 70000       | at most     |
      | host = "desk"    | upstreams[0].host      | 'desk'      | IP number   |
      | name = "a/b"     | upstreams[0].name      | 'a/b'       | slash       |
      | edits = []       | upstreams[0].edits     | []          | take it out |

  Scenario: A team must not set fields that acceptance writes
    Given a schema text with edit_id = "forged" at its top
    Then the schema refuses it with edit_id, 'forged' and take it out

  Scenario: A valid document is read
    Given a schema text with slots = 3 in its upstream
    Then the schema reads 3 slots
