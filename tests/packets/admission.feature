Feature: What callers get when there are more of them than slots
  Three domains with 2 nodes and 3 upstreams of 4 slots each. Feeds want their
  answers within 0.25 s, offers are more urgent and have 0.3 s. A caller whose
  try fails tries again twice, after 0.1 s and more.

  Scenario Outline: Urgent callers are served in time through a burst
    # For six seconds more requests come in than all slots can run. Without
    # admission every queue is full by then: an offer waits behind 16 others,
    # is late, or is refused by upstream after upstream. With it the callers
    # that can wait best are refused at once, before anybody runs them.
    Given a deployment under load with <admission>
    When calls come at 0.5 of its capacity, and at 1.3 for 6 seconds
    Then at least <least> and at most <most> of the offers are in time
    And upstreams refused <refusals> of the tries
    And no call ran that was not served

    Examples:
      | admission    | least | most | refusals       |
      | admission    | 0.75  | 1.0  | less than 0.05 |
      | no admission | 0.0   | 0.5  | more than 0.3  |

  Scenario: Feeds get no less than without admission
    Given a deployment under load with admission
    When calls come at 0.5 of its capacity, and at 1.3 for 6 seconds
    Then more feeds are in time than with no admission
    And each domain has at least half of the mean of feeds in time

  Scenario: Nobody is refused while there is room
    # Chance brings more requests at once than slots, and they wait a little:
    # a refusal would cost a caller its try for nothing.
    Given a deployment under load with admission
    When calls come at 0.5 of its capacity, and at 0.85 for 6 seconds
    Then no try was ended by a node

  Scenario: Refusals stay steady while the load does
    # A limit that falls too far lets slots run empty, and one that then rises
    # at once fills the queues again: callers would be served by turns.
    Given a deployment under load with admission
    When calls come at 0.5 of its capacity, and at 1.5 for 8 seconds
    Then in each half second between 0.15 and 0.9 of the calls met a refusal

  Scenario: A burst that is over is forgotten
    Given a deployment under load with admission
    When calls come at 0.5 of its capacity, and at 1.5 for 5 seconds
    Then from 1.5 seconds after the burst on no try is ended by a node

  Scenario: An upstream that turns slow does not close its service
    # Its answers are late, and it takes its part of the flows; the others have
    # room for all.
    Given a deployment under load with admission
    And one upstream works 8 times as long
    When calls come at 0.4 of its capacity, and at 0.4 for 6 seconds
    Then at most 0.02 of the calls met a refusal

  Scenario: Where no upstream can be in time callers are served late
    # All upstreams turn slow. To refuse would help nobody, so callers are
    # refused only for want of slots.
    Given a deployment under load with admission
    And all upstreams work 5 times as long
    When calls come at 0.1 of its capacity, and at 0.1 for 10 seconds
    Then at least 0.95 of the calls are served

  Scenario: A service that turned slow refuses nobody for being late
    # The same, nearer to what it can still run. If late answers alone moved
    # the limit, one call in twelve would be refused, and none served sooner.
    Given a deployment under load with admission
    And all upstreams work 5 times as long
    When calls come at 0.16 of its capacity, and at 0.16 for 10 seconds
    Then at most 0.02 of the calls met a refusal

  Scenario: One that was put aside is no way out of a load
    # An upstream fell silent and seems the emptiest. Those that are well are
    # full: a flow sent to the silent one would wait for its client's deadline.
    Given a deployment under load with admission
    And a node that sees all upstreams full but one that it put aside
    Then an opening there is refused for load

  Scenario: A refusal says what it was decided by
    Given a deployment under load with admission
    When its log lines are kept while calls come at 1.5 of its capacity
    Then each refused opening has a line with priority, objective and load
    And the metrics of the nodes count the same refusals by priority
