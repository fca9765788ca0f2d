import type { EngineProfile } from '@laburnumstream/common';

const secondMs = 1_000;
const thousand = 1_000;
const million = 1_000_000;

/** Classes of sizes by work, as factors of a usual request's. */
const sizeClasses = [
  { name: 'small', below: 0.7 },
  { name: 'usual', below: 1.4 },
  { name: 'large', below: 2.2 },
  { name: 'largest', below: Infinity },
] as const;
/** Factor on the time of a pass for the prompts that are read between passes. */
const readingFactor = 1.4;

/**
 * Times of a model engine that runs its requests in one batch: each pass writes a few tokens of every
 * running request, and prompts are read between passes. All times are in milliseconds.
 */
export class EngineModel {
  readonly slots: number;

  /** Time between two requests that end, while all slots are taken by usual requests. */
  readonly turnoverMs: number;

  private readonly usualContext: number;

  constructor(private readonly profile: EngineProfile) {
    const {
      slots,
      stepsPerPass: stride,
      typicalPromptTokens: usualPromptTokens,
      typicalOutputTokens: usualAnswerTokens,
    } = profile;
    this.slots = slots;
    this.usualContext = usualPromptTokens + usualAnswerTokens / 2;
    const passes = Math.max(1, usualAnswerTokens / stride);
    this.turnoverMs = this.readMs(usualPromptTokens) + (passes * this.passMs(slots)) / slots;
  }

  /** The class of a request's size, by the work that it is compared with a usual request. */
  sizeClass(promptTokens: number, answerTokens: number): string {
    const { typicalPromptTokens: usualPromptTokens, typicalOutputTokens: usualAnswerTokens } =
      this.profile;
    const usual = this.workMs(usualPromptTokens, usualAnswerTokens);
    const factor = this.workMs(promptTokens, answerTokens) / usual;
    return sizeClasses.find(({ below }) => factor < below)!.name;
  }

  /** Latest time to send a request whose first event is due at `goalAt`, in monotonic milliseconds. */
  latestStart(goalAt: number, promptTokens: number): number {
    return goalAt - this.firstEventMs(this.slots - 1, 0, promptTokens);
  }

  /** Time of one pass with a number of requests that are writing. */
  passMs(writers: number): number {
    const {
      stepsPerPass: stride,
      stepMs,
      stepMsPerSequence,
      stepMsPerThousandTokens,
    } = this.profile;
    const contextMs = ((writers * this.usualContext) / thousand) * stepMsPerThousandTokens;
    return stride * (stepMs + writers * stepMsPerSequence + contextMs);
  }

  /** Time to read a prompt. */
  readMs(tokens: number): number {
    const {
      prefillTokensPerSecond: readTokensPerSecond,
      prefillMsPerMillionPairs: readMsPerMillionPairs,
    } = this.profile;
    const pairs = (tokens * tokens) / 2;
    return (tokens / readTokensPerSecond) * secondMs + (pairs / million) * readMsPerMillionPairs;
  }

  /** Usual prompts that are read within a time. */
  promptsFor(ms: number): number {
    return Math.max(1, Math.floor(ms / this.readMs(this.profile.typicalPromptTokens)));
  }

  /** Time to write an answer beside a full batch whose prompts are read meanwhile. */
  answerMs(answerTokens: number): number {
    const passes = answerTokens / this.profile.stepsPerPass;
    return passes * this.passMs(this.slots) * readingFactor;
  }

  /** Work that a request is for the engine, as time of a full batch. */
  workMs(promptTokens: number, answerTokens: number): number {
    const passes = Math.max(1, answerTokens / this.profile.stepsPerPass);
    return this.readMs(promptTokens) + (passes * this.passMs(this.slots)) / this.slots;
  }

  /**
   * Time until the first event of a new request.
   * @param occupied requests at the engine, running and waiting
   * @param unreadMs time for the prompts that are to be read before
   * @param promptTokens the request's own prompt
   */
  firstEventMs(occupied: number, unreadMs: number, promptTokens: number): number {
    const ahead = Math.max(0, occupied + 1 - this.slots);
    const pass = this.passMs(Math.min(occupied + 1, this.slots));
    return ahead * this.turnoverMs + pass / 2 + unreadMs + this.readMs(promptTokens) + pass;
  }
}
