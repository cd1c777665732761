Feature: Records of other writers change nothing that is in force
  Other programs may write below our prefix in the platform's store: records
  with fields that are missing, of another type or out of range, under any key.

  Scenario Outline: A document with an odd field is not in force
    # Guards against numbers that no limit or socket can bear.
    Given a store with the document of "ledger"
    When a newer document of "ledger" has <field> <value>
    Then the document before stays in force

    Examples:
      | field            | value    |
      | deadline_seconds | 0        |
      | deadline_seconds | 1e300    |
      | upstreams        | []       |
      | service          | null     |
      | service          | "a/b"    |
      | port             | 70000    |
      | port             | -1       |
      | slots            | 0        |
      | slots            | 99999999999999999999 |
      | host             | "ledger" |
      | name             | ""       |
      | extra            | 100000 brackets |
      | slots            | 100000 brackets |
      | slots            | 5000 nines |
      | port             | 5000 nines |

  Scenario: The log line about a record has a bounded length
    # Guards against a record that fills the log.
    Given a store with the document of "ledger"
    When a newer document names an upstream by 100000 letters
    Then the document before stays in force
    And its log line has at most 500 characters

  Scenario Outline: A record under another key replaces nothing
    # Guards against a record that takes the place of another key's.
    Given a store with the document of "ledger"
    When the <record> of "ledger" is written under the key of "other"
    Then the document before stays in force
    And no failure domain is out

    Examples:
      | record   |
      | document |
      | deletion |
      | state    |

  Scenario Outline: Keys that can't sign are not in force
    # Guards against a ring that fails when the next cookie is signed.
    Given a VM with fleet keys
    When newer fleet keys have <field> <value>
    Then the keys before stay in force

    Examples:
      | field   | value      |
      | current | 7          |
      | keys    | []         |
      | key_id  | -1         |
      | key_id  | 256        |
      | secret  | ""         |
      | secret  | "x"        |
      | secret  | "\ud800"   |
      | extra   | 100000 brackets |
      | key_id  | 5000 nines |

  Scenario: The derived list of departures can't be written
    # Guards against a record in the store that drains living upstreams.
    Given a VM with fleet keys
    When the departures are written into the store
    Then no host is leaving

  Scenario Outline: One unreadable VM hides no other
    # Guards against a VM that finds no peer because of one foreign record.
    Given a platform with the VMs "one" and "two"
    When a VM's record has <field> <value>
    Then the list names "one" and "two"

    Examples:
      | field     | value  |
      | name      | null   |
      | name      | ""     |
      | host      | 7      |
      | state     | "gone" |
      | peer_port | 70000  |
      | peer_port | -1     |
      | peer_port | 5000 nines |
      | extra     | 100000 brackets |

  Scenario: A key that is no text hides no other
    # Guards against a watch that ends at each foreign key.
    Given a platform with the VMs "one" and "two"
    When a key has bytes that are no text
    Then the list names "one" and "two"
    And a watch shows "one" and "two"
