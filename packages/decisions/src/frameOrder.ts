import { OutcomeUnknown } from '@laburnumstream/common';

/** What marks a frame as part of one attempt. */
export interface FrameHeader {
  readonly id: string;
  readonly attempt: number;
  readonly sequence: number;
}

/** Lets through the frames of one attempt in order; drops late, doubled and crossed ones. */
export class FrameOrder {
  private next = 0;

  constructor(
    private readonly id: string,
    private readonly attempt: number,
  ) {}

  /** Whether the frame is the next one; throws `OutcomeUnknown` when frames are missing. */
  accepts({ id, attempt, sequence }: FrameHeader): boolean {
    if (id !== this.id || attempt !== this.attempt || sequence < this.next) return false;
    if (sequence > this.next) throw new OutcomeUnknown(`Frame ${this.next} is missing.`);
    this.next += 1;
    return true;
  }
}
