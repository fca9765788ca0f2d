import fc from 'fast-check';
import { BegunAdmission } from '@laburnumstream/decisions';

/** What happens at an endpoint; the result of a begun request may take longer than until the next step. */
interface AdmissionStep {
  readonly kind: 'refuses' | 'takes' | 'delays' | 'departs';
  readonly afterMs: number;
}

/** Random histories of an endpoint. */
export const admissionSteps = fc.array(
  fc.record<AdmissionStep>({
    kind: fc.constantFrom('refuses', 'takes', 'delays', 'departs'),
    afterMs: fc.integer({ min: 0, max: 400 }),
  }),
  { maxLength: 30 },
);

/** Time after a refusal in which an endpoint is in doubt, in milliseconds. */
const doubtMs = 2_000;

/** Begun requests at one endpoint that are sent there whenever they may be. */
export class AdmissionSimulation {
  readonly admission = new BegunAdmission();

  now = 0;

  /** Times at which requests were sent there while it was in doubt, since it last became likely to have room. */
  readonly doubtful: number[] = [];

  private refusedAt = -Infinity;

  /** Applies a step; returns whether the endpoint is then known, or likely, to have room. */
  apply({ kind, afterMs }: AdmissionStep): boolean {
    this.now += afterMs;
    const { admission, now } = this;
    if (kind === 'departs') return this.clear(() => admission.recordDeparture());
    if (!admission.allows(now)) return false;
    if (now - this.refusedAt < doubtMs && !admission.hasPlace(now)) this.doubtful.push(now);
    admission.recordPlacement(now);
    if (kind === 'takes') return this.clear(() => admission.recordResult(true, now));
    if (kind === 'refuses') {
      admission.recordResult(false, now);
      this.refusedAt = now;
    }
    return false;
  }

  private clear(record: () => void): boolean {
    record();
    this.doubtful.splice(0);
    return true;
  }
}
