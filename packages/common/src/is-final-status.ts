/** Whether a number is the status of a final answer by RFC 9110: 200 to 599. HTTP clients read other numbers of three digits too. */
export const isFinalStatus = (status: number): boolean => status >= 200 && status <= 599;
