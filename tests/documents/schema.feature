Feature: The schema of a service's document
  A half-valid document must change nothing, and its team must see which line
  to mend: the path, the wrong value and the cure.

  Scenario Outline: A fault in a document is named
    Given a schema text with <line> in its upstream
    Then the schema refuses it with <path>, <value> and <cure>

    Examples:
      | line             | path                   | value       | cure        |
      | slotz = 2        | upstreams[0].slotz     | 2           | write slots |
      | slots = "two"    | upstreams[0].slots     | 'two'       | document.md |
      | slots = 0        | upstreams[0].slots     | 0           | at least 1  |
      | port = 70000     | upstreams[0].port      | 70000       | at most     |
      | host = "desk"    | upstreams[0].host      | 'desk'      | IP number   |
      | name = "a/b"     | upstreams[0].name      | 'a/b'       | slash       |
      | edits = []       | upstreams[0].edits     | []          | take it out |

  Scenario: What acceptance writes is not a team's to set
    Given a schema text with edit_id = "forged" at its top
    Then the schema refuses it with edit_id, 'forged' and take it out

  Scenario: A whole document is read
    Given a schema text with slots = 3 in its upstream
    Then the schema reads 3 slots
