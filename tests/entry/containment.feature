Feature: A fault stays with its request
  One request meets an error that nobody foresaw. A newsagent may see that
  request end; the sessions of all others on the same entry VM must go on.

  Scenario: An error in a request's task ends that request alone
    The upstream's answer makes the owner's code raise an error that no
    handler expects. The error went up through the nursery and ended the VM.

    Given a contained fault in every request for "broken"
    When a caller asks for "broken" and then for "whole" at that entry VM
    Then the contained fault is told as "may-have-run" and "internal-fault"
    And the entry VM with the contained fault answers the next request
    And the entry VM counts 1 contained fault

  Scenario: A packet that goes in a circle to the end harms nothing
    Two VMs take each other for the owner for longer than a packet waits. The
    last answer was raised in a task of its own and ended the VM.

    Given a contained entry VM that always takes another for the owner
    When a caller posts to it with a cookie of an unknown owner
    Then the contained circle is told as "may-have-run" and "owner-lost"
    And the entry VM of the contained circle still serves
