Feature: Admission control when requests exceed the slots
  Three domains have 2 nodes and 3 upstreams of 4 slots each. The objective of
  feeds is 0.25 s; offers are more urgent and have 0.3 s. A caller whose try
  fails tries again twice, the first time after at least 0.1 s.

  Scenario Outline: Urgent callers are served in time through a burst
    # For six seconds more requests arrive than all slots can run. Without
    # admission control every queue is full: an offer waits behind 16 others and
    # is late, or is refused by one upstream after the other. With it the least
    # urgent requests are refused at once, before an upstream runs them.
    Given a deployment under load with <admission>
    When calls come at 0.5 of its capacity, and at 1.3 for 6 seconds
    Then at least <least> and at most <most> of the offers are in time
    And upstreams refused <refusals> of the tries
    And no call ran that was not served

    Examples:
      | admission    | least | most | refusals       |
      | admission    | 0.75  | 1.0  | less than 0.05 |
      | no admission | 0.0   | 0.5  | more than 0.3  |

  Scenario Outline: A full upstream that works off its queue keeps its flows
    # Guards against resets of requests that wait in a queue and run later.
    Given a deployment under load with admission and seed <seed>
    When calls come at 0.5 of its capacity, and at <burst> for 6 seconds
    Then no call ran that was not served

    Examples:
      | seed | burst |
      | 6    | 1.3   |
      | 18   | 1.3   |
      | 21   | 1.7   |

  Scenario: More feeds are in time than without admission control
    Given a deployment under load with admission
    When calls come at 0.5 of its capacity, and at 1.3 for 6 seconds
    Then more feeds are in time than with no admission
    And each domain has at least half of the mean of feeds in time

  Scenario: No try is refused below capacity
    # Random bursts exceed the slots, and requests queue for a short time. A
    # refusal would cost a caller one of its tries without need.
    Given a deployment under load with admission
    When calls come at 0.5 of its capacity, and at 0.85 for 6 seconds
    Then no try was ended by a node

  Scenario: Refusals are steady under constant overload
    # Guards against a limit that oscillates: if it falls too far, slots are
    # idle, and if it then rises too fast, the queues fill again.
    Given a deployment under load with admission
    When calls come at 0.5 of its capacity, and at 1.5 for 8 seconds
    Then in each half second between 0.15 and 0.9 of the calls had a refused try

  Scenario: Refusals end soon after a burst
    Given a deployment under load with admission
    When calls come at 0.5 of its capacity, and at 1.5 for 5 seconds
    Then from 1.5 seconds after the burst on no try is ended by a node

  Scenario: One slow upstream does not limit its whole service
    # Its answers are late, and it gets its share of the flows, but the others
    # have capacity for all.
    Given a deployment under load with admission
    And one upstream works 8 times as long
    When calls come at 0.4 of its capacity, and at 0.4 for 6 seconds
    Then at most 0.02 of the calls had a refused try

  Scenario: Callers are served late if no upstream can answer in time
    # All upstreams become slow. Refusals would help nobody, so requests are
    # refused only if no slots are left.
    Given a deployment under load with admission
    And all upstreams work 5 times as long
    When calls come at 0.1 of its capacity, and at 0.1 for 10 seconds
    Then at least 0.95 of the calls are served

  Scenario: Late answers of a slow service alone cause no refusals
    # As above, but closer to its capacity. If late answers alone moved the
    # limit, one call in twelve would be refused and none served sooner.
    Given a deployment under load with admission
    And all upstreams work 5 times as long
    When calls come at 0.16 of its capacity, and at 0.16 for 10 seconds
    Then at most 0.02 of the calls had a refused try

  Scenario: An ejected upstream is no substitute for full ones
    # An unresponsive upstream looks the least loaded, and the healthy ones are
    # full. A flow on the unresponsive one would wait until its client's
    # deadline.
    Given a deployment under load with admission
    And a node for which one upstream is ejected and all others are full
    Then an opening on that node is refused for load

  Scenario: Log lines and metrics show the reasons for refusals
    Given a deployment under load with admission
    When its log lines are kept while calls come at 1.5 of its capacity
    Then each refused opening has a line with priority, objective and load
    And the metrics of the nodes count the same refusals by priority
