Feature: Accepting an edit
  An operator must know whether an edit is in force, and no edit may undo
  another one, whatever answers get lost.

  Scenario: An answer is lost after the write took effect
    The operator's command sees no answer. Writing again on top would be a
    second edit; giving up would tell a failure of what is in force.

    Given an accepted document with 2 slots
    When acceptance loses the answer of an edit to 3 slots
    Then acceptance tells revision 3
    And the accepted document has 3 slots

  Scenario: An answer is lost and another operator edits on top
    Our write took effect, its answer was lost, and before we read it back
    another operator has changed the deadline. The record no longer carries
    our id on top, yet our edit is part of what is in force.

    Given an accepted document with 2 slots
    When acceptance loses the answer of an edit to 3 slots and another follows
    Then acceptance tells that the edit was overtaken
    And the accepted document has 3 slots
    And the accepted document has a deadline of 7 s

  Scenario: The store goes down with the answer
    Nobody can tell whether the edit took effect until the store is back, and
    the operator has to be told just that, with the id to look for.

    Given an accepted document with 2 slots
    When acceptance of an edit to 3 slots loses the store for good
    Then acceptance fails with burdocksill.E204 and the edit's id

  Scenario: The store comes back within the command's patience
    Given an accepted document with 2 slots
    When acceptance of an edit to 3 slots loses the store for 2 s
    Then acceptance tells revision 3
    And the accepted document was written once

  Scenario: Two operators race
    Both have read the same revision; one sets slots, the other the deadline.
    The slower one must see both changes and may not undo the faster one's.

    Given an accepted document with 2 slots
    When acceptance gets a deadline of 7 s and then 3 slots over revision 2
    Then acceptance fails with burdocksill.E202 and 7.0
    And the conflict shows both changes
    And the accepted document has 2 slots

  Scenario: A half-valid document changes nothing
    Given an accepted document with 2 slots
    When acceptance gets an edit to 0 slots
    Then acceptance fails with burdocksill.E201 and slots is 0
    And the accepted document has 2 slots
