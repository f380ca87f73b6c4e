/** The HTTP responses to users that carry no job; statuses and bodies are the protocol's. */
import type { OutgoingResponse } from "@sorreltally/protocol"

/** 400: the request isn't in the protocol's form. */
export const badRequest = (error: string): OutgoingResponse => ({ status: 400, body: { error } })
/** 404: no such job or path. */
export const notFound = (error: string): OutgoingResponse => ({ status: 404, body: { error } })
/** 422: a job that can never run here. */
export const unprocessable = (error: string): OutgoingResponse => ({ status: 422, body: { error } })
/** 429 or 503: can't be served now, but may be when it is repeated after `retryAfterS` seconds. */
export const unavailable = (status: 429 | 503, error: string, retryAfterS: number): OutgoingResponse => ({
  status,
  body: { error },
  retryAfterS,
})

/** A request's JSON; undefined, which JSON can't be, for any other text. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
