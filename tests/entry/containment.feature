Feature: Isolation of errors in a request
  An unexpected error in the task of one request must end only that request.
  All other sessions at the entry VM must continue.

  Scenario: An error in a request's task ends only that request
    An answer of the upstream causes an error that no handler expects. It
    propagated through the nursery and ended the process of the VM.

    Given an unexpected error in every request for "broken"
    When a caller asks for "broken" and then for "whole" at that entry VM
    Then the unexpected error is reported as "may-have-run" and "internal-fault"
    And the entry VM with the unexpected error answers the next request
    And the entry VM counts 1 unexpected error

  Scenario: A packet that is relayed in a loop does not end the VM
    Two VMs consider each other the owner for longer than a packet is delayed.
    The final refusal was raised in a separate task and ended the process.

    Given an entry VM that always considers another VM the owner
    When a caller posts to it with a cookie of an unknown owner
    Then the relay loop is reported as "may-have-run" and "owner-lost"
    And the entry VM of the relay loop still serves
