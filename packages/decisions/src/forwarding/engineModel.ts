import type { EngineProfile } from '@laburnumstream/common';

const secondMs = 1_000;
const thousand = 1_000;
const million = 1_000_000;

/** Upper bounds of the size classes, as factors on the work of a usual request. */
const sizeClasses = [
  { name: 'small', below: 0.7 },
  { name: 'usual', below: 1.4 },
  { name: 'large', below: 2.2 },
  { name: 'largest', below: Infinity },
] as const;
/** Factor on the time of a decode pass for the prefill that happens between passes. */
const prefillOverhead = 1.4;

/**
 * Timing model of an engine that decodes its requests in one batch: each decode pass generates a few
 * tokens of every running request, and prompts are prefilled between passes. All times are in
 * milliseconds.
 */
export class EngineModel {
  readonly slots: number;

  /** Time between the ends of two requests while usual requests fill all slots. */
  readonly slotTurnoverMs: number;

  private readonly usualContextTokens: number;

  constructor(private readonly profile: EngineProfile) {
    const { slots, stepsPerPass, typicalPromptTokens, typicalOutputTokens } = profile;
    this.slots = slots;
    this.usualContextTokens = typicalPromptTokens + typicalOutputTokens / 2;
    const passes = Math.max(1, typicalOutputTokens / stepsPerPass);
    this.slotTurnoverMs =
      this.prefillMs(typicalPromptTokens) + (passes * this.passMs(slots)) / slots;
  }

  /** Size class of a request, by its work relative to a usual request. */
  sizeClass(promptTokens: number, answerTokens: number): string {
    const { typicalPromptTokens, typicalOutputTokens } = this.profile;
    const usual = this.workMs(typicalPromptTokens, typicalOutputTokens);
    const factor = this.workMs(promptTokens, answerTokens) / usual;
    return sizeClasses.find(({ below }) => factor < below)!.name;
  }

  /** Latest time to send a request whose first event is due at `goalAt`, in monotonic milliseconds. */
  latestStart(goalAt: number, promptTokens: number): number {
    return goalAt - this.firstEventMs(this.slots - 1, 0, promptTokens);
  }

  /** Time of one decode pass over a batch of requests. */
  passMs(batchSize: number): number {
    const { stepsPerPass, stepMs, stepMsPerSequence, stepMsPerThousandTokens } = this.profile;
    const contextMs = ((batchSize * this.usualContextTokens) / thousand) * stepMsPerThousandTokens;
    return stepsPerPass * (stepMs + batchSize * stepMsPerSequence + contextMs);
  }

  /** Prefill time of a prompt. */
  prefillMs(tokens: number): number {
    const { prefillTokensPerSecond, prefillMsPerMillionPairs } = this.profile;
    const pairs = (tokens * tokens) / 2;
    return (
      (tokens / prefillTokensPerSecond) * secondMs + (pairs / million) * prefillMsPerMillionPairs
    );
  }

  /** Number of usual prompts that can be prefilled in a time; at least 1. */
  promptsWithin(ms: number): number {
    return Math.max(1, Math.floor(ms / this.prefillMs(this.profile.typicalPromptTokens)));
  }

  /** Time to generate an answer in a full batch, including the prefill of other requests. */
  generationMs(answerTokens: number): number {
    const passes = answerTokens / this.profile.stepsPerPass;
    return passes * this.passMs(this.slots) * prefillOverhead;
  }

  /** Engine time that a request costs, with its share of a full batch. */
  workMs(promptTokens: number, answerTokens: number): number {
    const passes = Math.max(1, answerTokens / this.profile.stepsPerPass);
    return this.prefillMs(promptTokens) + (passes * this.passMs(this.slots)) / this.slots;
  }

  /**
   * Time to the first event of a new request.
   * @param outstanding requests at the engine, running and waiting
   * @param unreadMs prefill time of the prompts ahead of this one
   * @param promptTokens the request's own prompt
   */
  firstEventMs(outstanding: number, unreadMs: number, promptTokens: number): number {
    const ahead = Math.max(0, outstanding + 1 - this.slots);
    const pass = this.passMs(Math.min(outstanding + 1, this.slots));
    return ahead * this.slotTurnoverMs + pass / 2 + unreadMs + this.prefillMs(promptTokens) + pass;
  }
}
