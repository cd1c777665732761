Feature: Nodes of a domain know the load of upstreams together
  Each node sees one flow in many. Its domain's reader sums what all nodes see.

  Background:
    Given 24 nodes in 2 domains that report loads
    And 20 upstreams in 1 domains with 20 flows
    When 3 seconds go by

  Scenario: All nodes know the sums
    Then nodes of "d0" know the flows on each upstream
    And all nodes know 110 to 125 spare slots in "d0"
    And 24 nodes are counted

  Scenario: A new flow counts before it is reported, and once after
    When a node of "d0" places 5 flows on one upstream
    Then it knows 5 flows more there, and 0 spare slots less
    When 2 seconds go by
    Then it knows 5 flows more there, and 0 spare slots less

  Scenario: Flows that moved to another node count once
    Guards against loads that double whenever a node joins or leaves.
    When 300 flows of a node of "d0" fell idle 3 seconds ago
    And 3 seconds go by
    Then nodes of "d0" know the flows on each upstream

  Scenario: The flows of a node that is cut off lapse
    Guards against sums that hold the flows of a dead node.
    When a node of "d0" is cut off from all others
    And 4 seconds go by
    Then other nodes of "d0" know the flows on each upstream
    And the one cut off of "d0" know no load
    And 23 nodes are counted

  Scenario: A reader that is cut off tells itself no partial sums
    Guards against a reader that takes its own flows for those of the domain.
    When the reader of "d0" is cut off from all others
    And 7 seconds go by
    Then the one cut off of "d0" know no load

  Scenario: Reports that come late do not count
    Guards against old loads over slow links or from machines that stood still.
    When half of all datagrams come up to 8 seconds late
    And half of the upstreams empty, and 5 seconds go by
    And 10 seconds go by
    Then half of the upstreams were known as empty since

  Scenario: A reader that starts again tells no partial sums
    Guards against upstreams that seem idle because few nodes have reported.
    When the process of the reader of "d0" starts again
    And 12 seconds go by
    Then nodes of "d0" know the flows on each upstream
    And no load was older than 4 seconds, or less than 14 flows

  Scenario: The reader loses power
    Guards against loads that are held although nobody renews them.
    When the reader of "d0" loses power for good
    And 3 seconds go by
    Then nodes of "d0" know no load
    When 12 seconds go by
    Then nodes of "d0" know the flows on each upstream

  Scenario: Operators see whether the load is shared
    Guards against a node that goes by its own flows and does not tell.
    Then a loss of the load shows in log lines and metrics

  Scenario Outline: A node that exaggerates empties nothing
    Guards against a lie by a factor of 100 about <what>.
    When a node of "d0" reports 100 times its load of <what>
    And 3 seconds go by
    Then all nodes know 90 to 125 spare slots in "d0"
    And of 400 flows to the least loaded each upstream gets 8

    Examples:
      | what          |
      | one upstream  |
      | all upstreams |

  Scenario: A node that reports nothing hides its own flows alone
    Guards against a lie that makes upstreams seem idle.
    When a node of "d0" reports 0 times its load of all upstreams
    And 3 seconds go by
    Then other nodes of "d0" know the flows on each upstream

  Scenario Outline: A reader that exaggerates is not believed
    Guards against a reader whose sums empty <what>, or close admission.
    When the reader of "d0" tells 100 times the load of <what>
    And 3 seconds go by
    Then followers of "d0" know no load

    Examples:
      | what          |
      | one upstream  |
      | all upstreams |

  Scenario: The reader of another domain can't take all room
    Guards against a lie by a factor of 100 that closes a domain.
    When the reader of "d1" claims 10000 requests in "d0"
    And 3 seconds go by
    Then nodes of "d0" know the flows on each upstream
    And nodes of "d0" know 20 to 125 spare slots in "d0"

  Scenario: Nodes of an earlier build ignore reports
    Guards against a release during which sums hold a part of the nodes.
    When 8 nodes of "d0" start again with the earlier build
    And 12 seconds go by
    Then nodes of "d0" know no load
    And a new manifest is in force everywhere within 3 seconds

  Scenario Outline: Control traffic does not grow with the fleet
    Guards against reports that fill the links of small nodes.
    Given <nodes> nodes in 5 domains that report loads
    And 30 upstreams in 5 domains with 20 flows
    When 4 seconds go by
    Then nodes sent at most 2000 bytes a second, and know all loads

    Examples:
      | nodes |
      | 30    |
      | 100   |
      | 300   |

  Scenario Outline: Loads of many services are told in turn
    Guards against sizes that follow from the number of services, and that end
    the readers or hide services.
    Given 6 nodes in 3 domains that report loads
    And <services> services in 3 domains with a request in progress each
    When <seconds> seconds go by
    Then all nodes know the spare slots of each service
    And 6 nodes are counted
    And no part of a node has failed

    Examples:
      | services | seconds |
      | 10       | 4       |
      | 15       | 4       |
      | 16       | 4       |
      | 20       | 4       |
      | 21       | 4       |
      | 24       | 4       |
      | 25       | 4       |
      | 70       | 6       |

  Scenario: Loads of more services than can be told are unknown
    Guards against services that seem idle because nobody tells of them.
    Given 6 nodes in 3 domains that report loads
    And 400 services in 3 domains with a request in progress each
    When 6 seconds go by
    Then no node knows wrong spare slots of a service
    And 6 nodes are counted
    And no part of a node has failed

  Scenario: Without the feature nothing is reported
    Guards against decisions of a feature that is not asked for.
    Given 24 nodes in 2 domains that report nothing
    And 20 upstreams in 1 domains with 20 flows
    When 3 seconds go by
    Then no load was sent, and none is known

  Scenario: Reports alone decide nothing
    Guards against decisions of another feature that is not asked for.
    Then flows go where they go without reports, on the same seed

  Scenario: Short answers count as errors
    Guards against upstreams that attract flows because they refuse quickly.
    When an upstream gives 4 answers of a tenth of the usual size
    Then its node reports 1.5 to 2.5 errors a second
    When 8 seconds go by
    Then its node reports 0.0 to 0.05 errors a second
