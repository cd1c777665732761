Feature: The operators' commands on documents, domains and keys
  Two operators get the same document, edit their copies and put them. If the
  second put were accepted, the first change would be lost without notice. So
  the output of get carries the revision, and the later put is refused.

  Background:
    Given the commands run against a platform with fleet keys

  Scenario: The output of get can be put without a change
    When the command "document put FILE" runs on the document with 2 slots
    Then the command ends with 0 and prints "accepted at revision"
    When the command "document get kiosk-ledger" runs
    Then the command's output is put again without a change

  Scenario: The later of two edits of one revision is refused
    When the command "document put FILE" runs on the document with 2 slots
    And the command "document get kiosk-ledger" runs and its output is saved
    And the command "document put FILE" runs on the saved document with 3 slots
    Then the command ends with 0 and prints "accepted at revision"
    When the command "document put FILE" runs on the saved document with 4 slots
    Then the command ends with 3 and prints "burdocksill.E202"

  Scenario: Diff and history show what changed
    When the command "document put FILE" runs on the document with 2 slots
    And the command "document diff FILE" runs on the document with 3 slots
    Then the command ends with 1 and prints "+slots = 3"
    When the command "document put FILE" runs on the document with 3 slots
    And the command "document history kiosk-ledger" runs
    Then the command ends with 0 and prints "-slots = 2"
    And the history has 2 revisions of this service only

  Scenario: A document with an invalid field changes nothing
    When the command "document put FILE" runs on the document with 0 slots
    Then the command ends with 1 and prints "upstreams[0].slots is 0"
    When the command "document get kiosk-ledger" runs
    Then the command ends with 1 and prints "burdocksill.E203"

  Scenario: Failure domains are listed with the reason why they are out
    When the command "document put FILE" runs on the document with 2 slots
    And the command "domain out cz-b --reason cooling" runs
    And the command "domain list" runs
    Then the command ends with 0 and prints "cz-a in-service"
    And the command ends with 0 and prints "cz-b out: cooling"

  Scenario: Keys are listed without their secrets
    When the command "keys rotate" runs
    And the command "keys list" runs
    Then the command ends with 0 and prints "key 2 signs"
    And no secret of the fleet is printed

  Scenario: A deleted document leaves a record of its deletion
    When the command "document put FILE" runs on the document with 2 slots
    And the command "document delete kiosk-ledger" runs
    Then the command ends with 0 and prints "accepted at revision"
    When the command "document get kiosk-ledger" runs
    Then the command ends with 1 and prints "was deleted at revision"

  Scenario: Waiting names the VMs that do not answer
    Given the commands know a VM "cz-a-entry-1" that does not answer
    When the command "document put --wait 0.1 FILE" runs on the document with 2 slots
    Then the command ends with 4 and prints "not yet on cz-a-entry-1"
    When the command "status" runs
    Then the command ends with 5 and prints "no VM answered"

  Scenario: Without a platform the error has a hint
    Given the commands get no platform
    When the command "keys list" runs
    Then the command ends with 2 and prints "set BURDOCKSILL_PLATFORM"
    When the command "status" runs
    Then the command ends with 5 and prints "burdocksill --entry HOST:PORT"

  Scenario: History reports that the platform has compacted revisions
    When the command "document put FILE" runs on the document with 2 slots
    And the command "document put FILE" runs on the document with 3 slots
    And the platform of the commands compacts all but the newest revision
    And the command "document history kiosk-ledger" runs
    Then the command ends with 0 and prints "compacted the earlier revisions"
    And the history has 1 revisions of this service only
