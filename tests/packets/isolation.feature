Feature: A failure domain that is out of service and then partitioned
  Operators take a failure domain out of service, and then a network partition
  separates its nodes from all other domains.

  Scenario: Its clients are served in their own domain during the partition
    Guards against a domain that serves nobody although its upstreams are alive.
    Given 5 domains of 16 nodes and 14 upstreams, with 100 calls a second each
    And the first domain is taken out of service
    When it is partitioned from all other domains and from the store for 5 seconds
    Then of its calls from 1.5 s on at most 0.03 are never served
    And flows were opened in the first domain

  Scenario: While the store answers the domain stays out of service
    Guards against other faults that are taken for a partition. The control of
    the scenario above.
    Given 5 domains of 16 nodes and 14 upstreams, with 100 calls a second each
    And the first domain is taken out of service
    When it is partitioned from all other domains for 5 seconds
    Then no flow was opened in the first domain
    And of its calls from 1.5 s on at least 0.5 are never served

  Scenario: While another domain answers the domain stays out of service
    Guards against flows to a domain out of service because only the store
    fails.
    Given 5 domains of 16 nodes and 14 upstreams, with 100 calls a second each
    And the first domain is taken out of service
    When the store answers nobody for 5 seconds
    Then no flow was opened in the first domain

  Scenario: After the partition no new flow is opened in the own domain
    Guards against a last resort that is used longer than needed.
    Given 5 domains of 16 nodes and 14 upstreams, with 100 calls a second each
    And the first domain is taken out of service
    When it is partitioned from all other domains and from the store for 5 seconds
    And the partition ends
    Then from 3.0 s after its end no flow was opened in the first domain

  Scenario Outline: Only a new connection without an answer proves a partition
    Guards against a refusal or an unresponsive old connection taken for a
    partition.
    Given a fleet of 2 nodes in 1 domains
    When a node probes a store with fault "<fault>"
    Then the probe finds it to be <found>

    Examples:
      | fault   | found        |
      | none    | reachable    |
      | muted   | reachable    |
      | busy    | reachable    |
      | reset   | reachable    |
      | silent  | unreachable  |
