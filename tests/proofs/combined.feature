Feature: Faults that come together
  A VM dies while the store is down, a failure domain returns while another is
  cut off, an edit is lost in a pause: each guard was built for one fault, and
  two together may slip between them. A caller would see a count booked twice
  or a refusal that ran, an operator a document that goes back.

  Scenario: All promises hold under two or three faults at once
    Then the proof combined holds on seeds 1 to 50

  Scenario: The checks see what the guards prevent
    Then the proof combined sees its control fail with seed 1
    And the proof combined sees its control fail with seed 2
