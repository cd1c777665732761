Feature: Accepting an edit
  An operator must know whether an edit is in force, and no edit may undo
  another one, also if answers are lost.

  Scenario: An answer is lost after the write took effect
    The operator's command gets no answer. Another write would be a second edit;
    an error would report an edit as failed that is in force.

    Given an accepted document with 2 slots
    When acceptance loses the answer of an edit to 3 slots
    Then acceptance returns revision 3
    And the accepted document has 3 slots

  Scenario: An answer is lost and another operator edits on top
    The write took effect, its answer was lost, and before it is read back
    another operator changes the deadline. The record's newest edit id is that
    of the other edit, but the first one is still in force below it.

    Given an accepted document with 2 slots
    When acceptance loses the answer of an edit to 3 slots and another follows
    Then acceptance reports the edit as overtaken
    And the accepted document has 3 slots
    And the accepted document has a deadline of 7 s

  Scenario: The store goes down with the answer
    Whether the edit took effect is unknown until the store is back. The error
    has to say so, with the id to look for.

    Given an accepted document with 2 slots
    When acceptance of an edit to 3 slots loses the store permanently
    Then acceptance fails with burdocksill.E204 and the edit's id

  Scenario: The store comes back before the command gives up
    Given an accepted document with 2 slots
    When acceptance of an edit to 3 slots loses the store for 2 s
    Then acceptance returns revision 3
    And the accepted document was written once

  Scenario: Two operators race
    Both have read the same revision; one sets slots, the other the deadline.
    The slower one must see both changes and must not undo the faster one's.

    Given an accepted document with 2 slots
    When acceptance gets a deadline of 7 s and then 3 slots over revision 2
    Then acceptance fails with burdocksill.E202 and 7.0
    And the conflict shows both changes
    And the accepted document has 2 slots

  Scenario: An invalid document changes nothing
    Given an accepted document with 2 slots
    When acceptance gets an edit to 0 slots
    Then acceptance fails with burdocksill.E201 and slots is 0
    And the accepted document has 2 slots
