import { OutcomeUnknown } from '@laburnumstream/common';

/** Fields that identify a frame and its position within an attempt. */
export interface FrameHeader {
  readonly id: string;
  readonly attempt: number;
  readonly sequence: number;
}

/** Accepts the frames of one attempt in order; rejects duplicates and frames of other attempts. */
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
