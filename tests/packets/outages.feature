Feature: Failure domains whose upstreams fail together
  The hosts of the failed upstreams refuse openings within milliseconds, and
  clients try again at once.

  Scenario Outline: New flows avoid a domain whose upstreams have all failed
    Guards against tries that are sent to one failed upstream after the other.
    Given <domains> domains of <nodes> nodes and <upstreams> upstreams, with <rate> calls a second each
    When all upstreams of the first domain die for 2 seconds
    Then of its calls from 0.3 s on at most 0.0 are never served
    And of its calls from 0.0 s on at most 0.06 are never served

    Examples:
      | domains | nodes | upstreams | rate |
      | 3       | 2     | 5         | 60   |
      | 5       | 16    | 14        | 100  |
      | 5       | 39    | 24        | 200  |

  Scenario: Without shared observations a large domain's calls are lost
    The control run of the scenario above.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And nodes ignore missed openings
    When all upstreams of the first domain die for 2 seconds
    Then of its calls from 0.0 s on at least 0.3 are never served

  Scenario: Nodes that hear nothing of each other leave it a little later
    Guards against a domain whose reader died with its upstreams.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And nodes tell each other nothing
    When all upstreams of the first domain die for 2 seconds
    Then of its calls from 0.5 s on at most 0.0 are never served

  Scenario Outline: Nodes that see few openings leave a failed domain by themselves
    Guards against nodes that send tries to a failed domain although they have
    missed openings and seen no answer there.
    Given 3 domains of <nodes> nodes and <upstreams> upstreams, with <rate> calls a second each
    And nodes tell each other nothing
    When all upstreams of the first domain die for 2 seconds
    Then of its calls from 0.5 s on at most 0.0 are never served

    Examples:
      | nodes | upstreams | rate |
      | 6     | 15        | 60   |
      | 39    | 24        | 100  |
      | 39    | 24        | 400  |
      | 80    | 70        | 100  |
      | 195   | 120       | 200  |

  Scenario: One missed opening steers new flows to upstreams that have answered
    Guards against further tries in a domain before anything there has answered.
    Given observations of 20 upstreams of a domain that all answer
    When this node misses openings of 1 of them
    Then new flows avoid 20 of them
    And the domain is not suspected
    When one of the others answers
    Then new flows avoid 1 of them
    And log lines show that it was suspected and is trusted again

  Scenario: One missed opening right after an answer moves no flows
    Guards against flows that leave their domain because a packet was lost.
    Given observations of 20 upstreams of a domain that all answer
    When one of the others answers
    And this node misses openings of 1 of them
    Then new flows avoid 1 of them

  Scenario: Flows of a node that loses one packet stay in their domain
    Guards against a lost packet after which all flows of a node leave.
    Given world seed 8
    And 3 domains of 2 nodes and 20 upstreams, with 60 calls a second each
    When for 10 seconds one of 1000 packets is lost, with a node whose clock is ahead
    Then at least 0.95 of the flows of its callers are opened in their own domain

  Scenario: A domain that never answers is tested after growing intervals
    Guards against new flows that avoid a domain forever, or test it too often.
    Given observations of 20 upstreams of a domain that all answer
    When this node misses an opening whenever it may test the domain, for 30 s
    Then it misses at most 6 openings
    When nothing more is observed for 9 s
    Then new flows avoid 0 of them

  Scenario: A domain of which half of the upstreams fail keeps its flows
    Guards against the suspicion of a domain of which half still answers.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When half of the upstreams of the first domain die for 2 seconds
    Then of its calls from 0.3 s on at most 0.0 are never served

  Scenario: A domain of which half of the upstreams fail opens its flows at home
    Guards against flows that leave a domain of which half still answers.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And callers that open a flow for each call
    When half of the upstreams of the first domain die for 2 seconds
    Then at least 0.7 of its flows from 0.5 s on are opened in their own domain

  Scenario: A domain whose upstreams are restarted gets its flows again
    Guards against a suspicion that is not ended when its cause is gone.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And callers that open a flow for each call
    When all upstreams of the first domain die for 2 seconds
    And they are started again as other processes
    Then at least 0.9 of its flows from 4.0 s on are opened in their own domain

  Scenario: A domain whose processes were only unreachable gets its flows again
    Guards against a suspicion that is not ended by answers of the same
    processes.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And callers that open a flow for each call
    When all upstreams of the first domain refuse openings for 1 second
    Then at least 0.9 of its flows from 4.0 s on are opened in their own domain

  Scenario: False reports of one node make no domain suspected
    Guards against trust in a single node that reports all upstreams as failed.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And callers that open a flow for each call
    When a node reports each 0.1 s that all upstreams of its domain missed an opening
    Then no node suspects a domain
    And at least 0.95 of its flows from 0.0 s on are opened in their own domain

  Scenario: A partitioned node makes no domain suspected by others
    Guards against reports of a node whose own link to the upstreams is broken.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When a node is partitioned from all upstreams for 2 seconds
    Then no other node suspects a domain

  Scenario Outline: False reports and lost packets make no domain suspected
    Guards against a suspicion from a single false report and a lost packet.
    Given <domains> domains of <nodes> nodes and <upstreams> upstreams, with <rate> calls a second each
    When for 10 seconds one of 1000 packets is lost, with <wrong>
    Then no other node suspects a domain for more than 0.01 of the time
    And at least 0.95 of the flows of its callers are opened in their own domain

    Examples:
      | domains | nodes | upstreams | rate | wrong                                                                      |
      | 3       | 2     | 20        | 60   | a node with false reports                                                  |
      | 3       | 2     | 20        | 60   | a partitioned node                                                         |
      | 3       | 2     | 20        | 60   | a node whose clock is ahead                                                |
      | 5       | 16    | 20        | 100  | a node with false reports                                                  |
      | 5       | 16    | 20        | 100  | a node with false reports, a partitioned node, a node whose clock is ahead |
      | 5       | 39    | 20        | 200  | a node with false reports                                                  |
      | 5       | 39    | 20        | 200  | a node with false reports, a partitioned node, a node whose clock is ahead |

  Scenario: False reports and one lost packet make no domain suspected
    Guards against reports of one node that count once for each upstream.
    Given observations of 20 upstreams of a domain that all answer
    When a node reports that 3 of them missed an opening
    And this node misses an opening of a fourth
    Then the domain is not suspected

  Scenario: A domain that answers is trusted despite continued false reports
    Guards against a suspicion that a single node can keep up forever.
    Given observations of 20 upstreams of a domain that all answer
    When this node misses openings of 3 of them
    Then the domain is suspected
    When all answer each 0.1 s while a node reports a missed opening each second, for 30 s
    Then the domain is suspected in at most 3 of 300 steps
    And log lines show that it was suspected and is trusted again

  Scenario: The end of a suspicion without further observations is logged
    Guards against a domain that is trusted again without a log line.
    Given observations of 20 upstreams of a domain that all answer
    When this node misses openings of 3 of them
    And nothing more is observed for 3 s
    Then the domain is not suspected
    And log lines show that it was suspected and is trusted again

  Scenario: Lost packets are no outage
    Guards against a suspicion when the network loses one packet of twenty.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And callers that open a flow for each call
    When a twentieth of all openings is lost for 2 seconds
    Then at least 0.9 of its flows from 0.0 s on are opened in their own domain

  Scenario: Few calls are trials of a failed domain
    Guards against a call whose tries are all trials, on three nodes. One of 64
    flows may be a trial; the bound is twice that.
    Given 3 domains of 39 nodes and 24 upstreams, with 800 calls a second each
    And callers that open a flow for each call
    When all upstreams of the first domain die for 2 seconds
    Then of its calls from 0.3 s to 1.0 s at most 0.03125 need a second try
    And of its calls from 0.3 s on at most 0.0 are never served

  Scenario: Open flows of a suspected domain are kept
    Guards against resets of flows because of a suspicion.
    Given 3 domains of 2 nodes and 6 upstreams, with 60 calls a second each
    When half of the upstreams of the first domain die for 2 seconds
    Then no flow on another upstream was reset

  Scenario: The traffic of shared observations is bounded
    Guards against traffic that grows with the number of lost packets.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When all upstreams of the first domain die for 2 seconds
    Then its nodes sent at most 2000 bytes a second each on average
    And no node of another domain sent anything

  Scenario: Missed openings are logged
    Guards against a lost request that no log line explains.
    Given 3 domains of 2 nodes and 5 upstreams, with 60 calls a second each
    When the log lines are kept while all upstreams of the first domain die
    Then log lines show missed openings and the suspected domain
