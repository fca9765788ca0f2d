Feature: Weight fetch decisions

  Scenario: two silent sources in a row
    Given a weight transfer of one chunk beside 7 other members
    When the first two sources stay silent past the deadline
    Then a third source is asked

  Scenario: corrupt chunk
    Given a weight transfer of one chunk beside 7 other members
    When the first source sends a corrupt chunk
    Then another source is asked for it

  Scenario: busy source
    Given a weight transfer of one chunk beside 7 other members
    When the first source answers that it does not hold the chunk yet
    Then the same source is asked again

  Scenario: balanced trees
    Given a weight topology of 40 members in one data centre
    Then over 200 chunks no member sends more than 1.1 times the mean

  Scenario: source that never gets the chunk
    Given a weight transfer of one chunk beside 7 other members
    When every source answers for 60 seconds that it does not hold the chunk yet
    Then the origin was asked too

  Scenario: slot whose renewals fail
    Given a roll-out slot with a lease of 400 ms
    When the store goes down while an order runs under it
    Then the order is aborted before the lease ends

  # Failure: the order was aborted only when a renewal without an answer had timed out.
  Scenario: slot whose renewals stay unanswered
    Given a roll-out slot with a lease of 400 ms
    When the store stops answering while an order runs under it
    Then the order is aborted before the lease ends

  Scenario: slot that is renewed
    Given a roll-out slot with a lease of 400 ms
    When an order of 4000 ms runs under it
    Then the order ends and the slot is still held

  Scenario: slot of a paused holder
    Given a roll-out slot with a lease of 400 ms
    When its holder is paused until the lease ends
    Then the slot no longer counts as held

  Scenario: members with different lists
    Given a weight topology of 40 members in one data centre
    When half of them do not know the last member yet
    Then over 200 chunks no first sources form a circle

  # Guards against members that wait for each other because each knows others than the next one does.
  Scenario: members with lists that differ at random
    Given a weight topology of 40 members in one data centre
    When each does not know a tenth of the others, by seed 1
    Then over 200 chunks no first sources form a circle

  # Guards against a first member that turns to those that wait for it when one transfer from the origin was corrupt.
  Scenario: corrupt chunk from the origin
    Given a weight transfer of one chunk at its first member beside 7 others
    When the first source sends a corrupt chunk
    Then the origin is asked once more for it
    When the origin sends a corrupt chunk again
    Then another source is asked for it

  Scenario: waiting for a slot
    Given a roll-out slot with a lease of 4000 ms
    When another endpoint asks for the slot 10 times
    Then it did not get the slot and cost the store 10 reads and no write

  Scenario: slot polls of a large data centre
    Then 127 endpoints that wait cost the store at most 50 polls a second
