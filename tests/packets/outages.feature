Feature: Upstreams of a failure domain that die together
  Their hosts refuse openings within milliseconds, and clients try again at once.

  Scenario Outline: New flows leave a domain whose upstreams have all died
    Guards against tries that meet one dead upstream after the other.
    Given <domains> domains of <nodes> nodes and <upstreams> upstreams, with <rate> calls a second each
    When all upstreams of the first domain die for 2 seconds
    Then of its calls from 0.3 s on at most 0.0 are never served
    And of its calls from 0.0 s on at most 0.06 are never served

    Examples:
      | domains | nodes | upstreams | rate |
      | 3       | 2     | 5         | 60   |
      | 5       | 16    | 14        | 100  |
      | 5       | 39    | 24        | 200  |

  Scenario: Without the nodes' common view a large domain's calls are lost
    The control of the scenario above.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And no node draws conclusions from missed openings
    When all upstreams of the first domain die for 2 seconds
    Then of its calls from 0.0 s on at least 0.3 are never served

  Scenario: Nodes that hear nothing of each other leave it a little later
    Guards against a domain whose reader died with its upstreams.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    And nodes tell each other nothing
    When all upstreams of the first domain die for 2 seconds
    Then of its calls from 0.5 s on at most 0.0 are never served

  Scenario: Half of the upstreams of a domain die
    Guards against a domain that is left although half of it answers.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When half of the upstreams of the first domain die for 2 seconds
    Then of its calls from 0.3 s on at most 0.0 are never served
    And at least 0.7 of its flows from 0.5 s on are opened at home

  Scenario: A domain whose upstreams are back gets its flows again
    Guards against a suspicion that outlives its cause.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When all upstreams of the first domain die for 2 seconds
    And they come back as other processes
    Then at least 0.9 of its flows from 4.0 s on are opened at home

  Scenario: A domain whose processes were only cut off gets its flows again
    Guards against a suspicion that no answer can end.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When all upstreams of the first domain refuse openings for 1 second
    Then at least 0.9 of its flows from 4.0 s on are opened at home

  Scenario: A node that lies empties no domain
    Guards against one node's word that all upstreams are dead.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When a node claims each 0.1 s that all upstreams of its domain missed an opening
    Then no node suspects a domain
    And at least 0.95 of its flows from 0.0 s on are opened at home

  Scenario: A node that is cut off from upstreams empties no domain for others
    Guards against what a node sees through its own broken link.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When a node is cut off from all upstreams for 2 seconds
    Then no other node suspects a domain

  Scenario Outline: Nodes that report wrongly empty no domain beside lost packets
    Guards against a domain that one lie and one lost packet keep empty.
    Given <domains> domains of <nodes> nodes and <upstreams> upstreams, with <rate> calls a second each
    When for 10 seconds one of 1000 packets is lost, beside <wrong>
    Then no other node suspects a domain for more than 0.01 of the time
    And at least 0.95 of the flows of its callers are opened at home

    Examples:
      | domains | nodes | upstreams | rate | wrong                                      |
      | 3       | 2     | 20        | 60   | a node that lies                           |
      | 3       | 2     | 20        | 60   | a node that is cut off                     |
      | 3       | 2     | 20        | 60   | a clock that is ahead                      |
      | 5       | 16    | 20        | 100  | a node that lies                           |
      | 5       | 16    | 20        | 100  | a node that lies, a node that is cut off, a clock that is ahead |
      | 5       | 39    | 20        | 200  | a node that lies                           |
      | 5       | 39    | 20        | 200  | a node that lies, a node that is cut off, a clock that is ahead |

  Scenario: A lie and a lost packet leave a domain trusted
    Guards against reporters that are counted over all upstreams together.
    Given the signs of 20 upstreams of a domain that all answer
    When a node reports that 3 of them missed an opening
    And this node misses an opening of a fourth
    Then the domain is not suspected

  Scenario: A domain that answers is trusted while lies go on
    Guards against a suspicion that one node's word keeps for good.
    Given the signs of 20 upstreams of a domain that all answer
    When this node misses openings of 3 of them
    Then the domain is suspected
    When all answer each 0.1 s while a node reports a missed opening each second, for 30 s
    Then the domain is suspected in at most 3 of 300 steps
    And lines tell that it was suspected and that it is trusted again

  Scenario: A suspicion of which nothing more is heard ends with a line
    Guards against a domain that is trusted again and no line that says so.
    Given the signs of 20 upstreams of a domain that all answer
    When this node misses openings of 3 of them
    And nothing more is heard for 3 s
    Then the domain is not suspected
    And lines tell that it was suspected and that it is trusted again

  Scenario: Lost packets are no outage
    Guards against a domain that is suspected for a network that loses a twentieth.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When a twentieth of all openings is lost for 2 seconds
    Then at least 0.9 of its flows from 0.0 s on are opened at home

  Scenario: Open flows of a suspected domain go on
    Guards against a suspicion that ends a flow.
    Given 3 domains of 2 nodes and 6 upstreams, with 60 calls a second each
    When half of the upstreams of the first domain die for 2 seconds
    Then no flow on another upstream was reset

  Scenario: What nodes tell each other is bounded
    Guards against traffic that grows with what is lost.
    Given 5 domains of 39 nodes and 24 upstreams, with 200 calls a second each
    When all upstreams of the first domain die for 2 seconds
    Then its nodes sent at most 2000 bytes a second each on average
    And no node of another domain sent any

  Scenario: A missed opening says so in the log
    Guards against a lost request that no line explains.
    Given 3 domains of 2 nodes and 5 upstreams, with 60 calls a second each
    When the log lines are kept while all upstreams of the first domain die
    Then lines tell of missed openings, and of the suspected domain
